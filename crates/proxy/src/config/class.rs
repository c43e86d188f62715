//! The request classes of the platform's settings (`settings.classes`), as the proxy uses them.
//!
//! | key | unit, default | effect |
//! | --- | --- | --- |
//! | `name` | text, required | requests name their class by it |
//! | `deadline_s` | seconds, 10 | the longest time limit that a request may name |
//! | `repeat` | `safe`, `keyed` or `unsafe`; none | `keyed`: an idempotency key is required; all but `safe`: it has an effect |
//! | `group` | `all` or other; none | `all`: the origin drops repeats whichever cache they come by |
//! | `key_ttl_s` | seconds, 0 | how long it does |
//! | `worth` | weight, 1 | priority at admission control |
//! | `goal_time_s` | seconds, 1 | latency objective |
//! | `aim_stretch` | factor, 0 | how far the objective is stretched for large requests |

use super::node::Node;
use super::ConfigError;
use meadowrill_admission::cost::RequestClass;
use meadowrill_routing::host;
use meadowrill_routing::interface::Micros;

/// Time limit of a class that names none, in seconds.
const DEFAULT_DEADLINE_S: f64 = 10.0;

/// What bounds the requests of a class.
#[derive(Debug, PartialEq)]
pub(crate) struct ClassConfig {
    pub(crate) name: String,
    /// The longest time limit that a request may name, in milliseconds.
    pub(crate) deadline_ms: f64,
    /// What admission control needs to know of it.
    pub(crate) admission: RequestClass,
    /// Its requests carry an idempotency key.
    pub(crate) requires_idempotency_key: bool,
    /// To run one twice is not the same as once.
    pub(crate) has_effect: bool,
    /// How long the origin drops repeats of a key, whichever cache they come by; 0 where it does not.
    pub(crate) deduplication_window: Micros,
}

/// How requests of a class may be repeated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Repeat {
    Safe,
    Keyed,
    Unsafe,
}

/// Reads all classes, in the order of the settings: their index is what the router knows.
pub(super) fn read_classes(classes: &Node) -> Result<Vec<ClassConfig>, ConfigError> {
    let names = classes.names(Some("name"))?;
    if names.is_empty() {
        return Err(classes.fault("names no class"));
    }
    let read = |(index, name)| read_class(&classes.item(index), name);
    names.into_iter().enumerate().map(read).collect()
}

fn read_class(class: &Node, name: String) -> Result<ClassConfig, ConfigError> {
    let deadline_ms = class.get("deadline_s").number(DEFAULT_DEADLINE_S, 0.001)? * 1e3;
    let repeat = read_repeat(&class.get("repeat"))?;
    let keyed = repeat == Some(Repeat::Keyed);
    let everywhere = class.get("group").value.is_some_and(|group| group == "all");
    let key_ttl_s = class.get("key_ttl_s").number(0.0, 0.0)?;
    let deduplicates = keyed && everywhere;
    Ok(ClassConfig {
        name,
        deadline_ms,
        admission: RequestClass {
            priority_weight: class.get("worth").number(1.0, 0.0)?,
            latency_budget: host::micros(class.get("goal_time_s").number(1.0, 0.0)?),
            budget_stretch: class.get("aim_stretch").number(0.0, 0.0)?,
        },
        requires_idempotency_key: keyed,
        has_effect: repeat.is_some_and(|repeat| repeat != Repeat::Safe),
        deduplication_window: if deduplicates {
            host::micros(key_ttl_s)
        } else {
            0
        },
    })
}

/// What is set and not understood is no reason to guess: an effect might come twice.
fn read_repeat(repeat: &Node) -> Result<Option<Repeat>, ConfigError> {
    let Some(value) = repeat.value else {
        return Ok(None);
    };
    match value.as_str() {
        Some("safe") => Ok(Some(Repeat::Safe)),
        Some("keyed") => Ok(Some(Repeat::Keyed)),
        Some("unsafe") => Ok(Some(Repeat::Unsafe)),
        _ => Err(repeat.fault("is neither safe, keyed nor unsafe")),
    }
}
