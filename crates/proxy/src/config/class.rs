//! The request classes of the platform's settings (`settings.classes`), as the proxy uses them.
//!
//! | key | unit, default | effect |
//! | --- | --- | --- |
//! | `name` | text, required | name of the class in requests |
//! | `deadline_s` | seconds, 10 | the longest timeout that a request may specify |
//! | `repeat` | `safe`, `keyed` or `unsafe`; none | `keyed`, `unsafe`: side effects; `keyed`: needs idempotency key |
//! | `group` | `all` or other; none | `all`: the origin drops repeats of a key through any cache (only with `keyed`) |
//! | `key_ttl_s` | seconds, 0 | how long the origin drops repeats of a key |
//! | `worth` | weight, 1 | priority at admission control |
//! | `goal_time_s` | seconds, 1 | latency objective |
//! | `aim_stretch` | factor, 0 | how much the objective is extended for large requests |

use super::node::Node;
use super::ConfigError;
use meadowrill_admission::cost::RequestClass;
use meadowrill_routing::host;
use meadowrill_routing::interface::Micros;

/// The default of `deadline_s`, in seconds.
const DEFAULT_DEADLINE_S: f64 = 10.0;

/// The configuration of a request class.
#[derive(Debug, PartialEq)]
pub(crate) struct ClassConfig {
    pub(crate) name: String,
    /// The longest timeout that a request may specify, in milliseconds.
    pub(crate) deadline_ms: f64,
    /// The class's parameters for admission control.
    pub(crate) admission: RequestClass,
    /// Whether requests of the class must have an idempotency key.
    pub(crate) requires_idempotency_key: bool,
    /// Whether requests have side effects, so that running one twice differs from running it once.
    pub(crate) has_effect: bool,
    /// How long the origin drops repeats of a key through any cache, or 0 if it does not drop them.
    pub(crate) deduplication_window: Micros,
}

/// How requests of a class may be repeated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Repeat {
    Safe,
    Keyed,
    Unsafe,
}

/// Reads all classes in the order of the settings. The router refers to a class by its index.
pub(super) fn read_classes(classes: &Node) -> Result<Vec<ClassConfig>, ConfigError> {
    let names = classes.names(Some("name"))?;
    if names.is_empty() {
        return Err(classes.error("must contain at least one class"));
    }
    let read = |(index, name)| read_class(&classes.item(index), name);
    names.into_iter().enumerate().map(read).collect()
}

fn read_class(class: &Node, name: String) -> Result<ClassConfig, ConfigError> {
    let deadline_ms = class.get("deadline_s").number(DEFAULT_DEADLINE_S, 0.001)? * 1e3;
    let repeat = read_repeat(&class.get("repeat"))?;
    let keyed = repeat == Some(Repeat::Keyed);
    let across_caches = class.get("group").value.is_some_and(|group| group == "all");
    let key_ttl_s = class.get("key_ttl_s").number(0.0, 0.0)?;
    let deduplicates = keyed && across_caches;
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

/// An unknown value is an error, because a wrong guess could run a side effect twice.
fn read_repeat(repeat: &Node) -> Result<Option<Repeat>, ConfigError> {
    let Some(value) = repeat.value else {
        return Ok(None);
    };
    match value.as_str() {
        Some("safe") => Ok(Some(Repeat::Safe)),
        Some("keyed") => Ok(Some(Repeat::Keyed)),
        Some("unsafe") => Ok(Some(Repeat::Unsafe)),
        _ => Err(repeat.error("must be safe, keyed or unsafe")),
    }
}
