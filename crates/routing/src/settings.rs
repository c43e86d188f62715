//! The platform's settings, read once into typed values.
//!
//! The platform defines the names and formats. Unknown names are ignored; a number that is missing, malformed or not
//! finite takes its default.

use crate::host::micros;
use crate::interface::{Micros, Settings};
use crate::time::SECOND;

/// The settings that the router uses.
pub(crate) struct RoutingSettings {
    /// `registry_mode` is `on_request`: the endpoint list is polled; otherwise it is pushed (default).
    pub(crate) polls_discovery: bool,
    /// `balancers`: proxies in the deployment; default 1.
    pub(crate) proxies: f64,
    /// `specifics.zone_balancers`: proxies in each zone, by the zone's number; default 0, which counts as one: slow
    /// start then gives each proxy the full allowance of a cache.
    proxies_by_zone: Vec<f64>,
    /// Proxies in this proxy's own zone.
    pub(crate) proxies_in_own_zone: f64,
    /// `locality`: this proxy's own zone; default 0.
    pub(crate) own_zone: Option<u8>,
    /// `specifics.origin_kind`: the endpoint kind of the origin; default none.
    pub(crate) origin_kind: Option<u8>,
    /// `specifics.second_tier_kind`: the endpoint kind of parents; default none.
    pub(crate) parent_kind: Option<u8>,
    /// `weight_kind` is not `off`: endpoints report their relative capacity (default).
    pub(crate) uses_weights: bool,
    /// `specifics.says` is `all`: every cache reports how it obtained each answer; otherwise only some do (default).
    pub(crate) complete_cache_status: bool,
    /// `specifics.shares_fills`: requests can join a fill in progress; default false.
    pub(crate) joins_fills: bool,
    /// `specifics.pass_through_ok`: requests may go to parents and to the origin directly; default false.
    pub(crate) may_bypass_caches: bool,
    /// `specifics.flow_kb_per_s`: throughput of one transfer; 0 if unknown (default).
    pub(crate) transfer_kb_per_second: f64,
    /// `specifics.purge_settles_s`: how long copies from before an invalidation may remain in caches; default 10 s.
    pub(crate) invalidation_settle_time: Micros,
    /// Position of the zone's link load in load reports (`x1` in `feedback.fields`), if it is reported.
    pub(crate) link_load_field: Option<usize>,
    /// Limits on attempts and advice to clients.
    pub(crate) limits: LimitSettings,
    cache_slow_start: SlowStartTerms,
    parent_slow_start: SlowStartTerms,
    /// The request classes by index, followed by one for requests whose class the settings do not name.
    pub(crate) classes: Vec<ClassSettings>,
}

/// Limits on attempts and advice to clients.
pub(crate) struct LimitSettings {
    /// `limits.send_cap`: maximum number of attempts of one request; default 4.
    pub(crate) max_attempts: usize,
    /// `limits.cancel`: attempts in flight may be cancelled; default false.
    pub(crate) may_cancel: bool,
    /// `limits.retry_after`: a rejection may advise the client how long to wait before it retries; default false.
    pub(crate) may_advise_retry: bool,
    /// `limits.max_retry_after_s`: longest wait that may be advised; default 0.
    pub(crate) max_retry_after: Micros,
}

/// The load that the deployment allows an endpoint that starts with an empty cache.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartTerms {
    /// Fraction of its usual load that it can take at first; default 0.05.
    pub(crate) initial_fraction: f64,
    /// Time until it can take its full load; default 30 s.
    pub(crate) duration: Micros,
    /// Multiple of the allowed load at which it is overloaded; default 2.
    pub(crate) overload_factor: f64,
    /// `guarantees.overload_for_s`: window in which its load is counted; default 1 s.
    pub(crate) overload_window: Micros,
    /// Number of proxies that send requests to it.
    pub(crate) proxies: f64,
    /// Endpoints report their capacity (`weight_kind` is not `off`).
    pub(crate) weights_reported: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// Endpoints recognize a repeated request by its idempotency key.
    Keyed {
        /// All endpoints share the keys; otherwise only the endpoints of one group do.
        shared_by_all: bool,
        /// How long a key is remembered.
        window: Micros,
    },
    /// A second run has a second effect.
    NonIdempotent,
}

/// The settings of one request class.
pub(crate) struct ClassSettings {
    /// `repeat`, `group` and `key_ttl_s`; not idempotent by default.
    pub(crate) idempotency: Idempotency,
    /// `goal_time_s`: latency objective of a request that takes no work; default 1 s.
    pub(crate) latency_objective: Micros,
    /// `aim_stretch`: increase of the objective for each unit of work; default 0.
    pub(crate) objective_per_work: f64,
    /// `specifics.max_age_s`: freshness lifetime of copies; 0 for no limit (default).
    pub(crate) freshness_lifetime: Micros,
    /// `specifics.stale_for_s`: how much longer a copy may be served while its source fails; default 0.
    pub(crate) stale_grace: Micros,
    /// `specifics.goes_through`: answers are never cached; default false.
    pub(crate) uncacheable: bool,
}

impl RoutingSettings {
    /// Reads the settings; [`RoutingSettings`] documents each name.
    pub(crate) fn read(settings: &Settings) -> RoutingSettings {
        let reader = SettingsReader(settings);
        let own_zone = reader.number("locality", 0.0);
        let zones = "specifics.zone_balancers";
        let load_fields = reader.text("feedback.fields").split(',');
        let reports_link = reader
            .text("specifics.report_x1")
            .contains("location's_link");
        let class_count = reader.number("classes.count", 0.0) as usize;
        let uses_weights = reader.text("weight_kind") != "off";
        let overload_window = reader.duration("guarantees.overload_for_s", 1.0);
        RoutingSettings {
            polls_discovery: reader.text("registry_mode") == "on_request",
            proxies: reader.number("balancers", 1.0),
            proxies_by_zone: reader.items(zones).map(number_or_zero).collect(),
            proxies_in_own_zone: reader.item_number(zones, own_zone as usize),
            own_zone: exact_u8(own_zone),
            origin_kind: exact_u8(reader.number("specifics.origin_kind", -1.0)),
            parent_kind: exact_u8(reader.number("specifics.second_tier_kind", -1.0)),
            uses_weights,
            complete_cache_status: reader.text("specifics.says") == "all",
            joins_fills: reader.flag("specifics.shares_fills"),
            may_bypass_caches: reader.flag("specifics.pass_through_ok"),
            transfer_kb_per_second: reader.number("specifics.flow_kb_per_s", 0.0),
            invalidation_settle_time: reader.duration("specifics.purge_settles_s", 10.0),
            link_load_field: load_fields
                .clone()
                .position(|f| f == "x1")
                .filter(|_| reports_link),
            limits: LimitSettings::read(&reader),
            cache_slow_start: SlowStartTerms {
                initial_fraction: reader.number("guarantees.cold_from", 0.05),
                duration: reader.duration("guarantees.warm_after_s", 30.0),
                overload_factor: reader.number("guarantees.overload_factor", 2.0),
                overload_window,
                proxies: 0.0,
                weights_reported: uses_weights,
            },
            parent_slow_start: SlowStartTerms {
                initial_fraction: reader.number("specifics.upper_cold_from", 0.05),
                duration: reader.duration("specifics.parent_warms_in_s", 30.0),
                overload_factor: reader.number("specifics.parent_fall_multiple", 2.0),
                overload_window,
                proxies: reader.number("balancers", 1.0),
                weights_reported: uses_weights,
            },
            classes: (0..=class_count)
                .map(|class| ClassSettings::read(&reader, class))
                .collect(),
        }
    }

    /// Slow-start parameters of a cache in a zone.
    pub(crate) fn cache_slow_start(&self, zone: usize) -> SlowStartTerms {
        let proxies = self.proxies_by_zone.get(zone).copied().unwrap_or(0.0);
        SlowStartTerms {
            proxies,
            ..self.cache_slow_start
        }
    }

    /// Slow-start parameters of a parent, to which all proxies send requests.
    pub(crate) fn parent_slow_start(&self) -> SlowStartTerms {
        self.parent_slow_start
    }
}

impl LimitSettings {
    fn read(reader: &SettingsReader) -> LimitSettings {
        LimitSettings {
            max_attempts: reader.number("limits.send_cap", 4.0) as usize,
            may_cancel: reader.flag("limits.cancel"),
            may_advise_retry: reader.flag("limits.retry_after"),
            max_retry_after: reader.duration("limits.max_retry_after_s", 0.0),
        }
    }
}

impl ClassSettings {
    fn read(reader: &SettingsReader, class: usize) -> ClassSettings {
        let name = |field: &str| format!("classes.{class}.{field}");
        let idempotency = match reader.text(&name("repeat")) {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed {
                shared_by_all: reader.text(&name("group")) == "all",
                window: micros(reader.number(&name("key_ttl_s"), 0.0)),
            },
            _ => Idempotency::NonIdempotent,
        };
        let seconds = |name| (reader.item_number(name, class) * SECOND as f64) as Micros;
        ClassSettings {
            idempotency,
            latency_objective: micros(reader.number(&name("goal_time_s"), 1.0)),
            objective_per_work: reader.number(&name("aim_stretch"), 0.0),
            freshness_lifetime: seconds("specifics.max_age_s"),
            stale_grace: seconds("specifics.stale_for_s"),
            uncacheable: reader.items("specifics.goes_through").nth(class) == Some("true"),
        }
    }
}

/// Reads values by name.
struct SettingsReader<'a>(&'a Settings);

impl<'a> SettingsReader<'a> {
    fn text(&self, name: &str) -> &'a str {
        self.0.get(name).map_or("", String::as_str)
    }

    fn flag(&self, name: &str) -> bool {
        self.text(name) == "true"
    }

    fn number(&self, name: &str, default: f64) -> f64 {
        let number = self.text(name).parse().ok();
        number
            .filter(|number: &f64| number.is_finite())
            .unwrap_or(default)
    }

    /// A duration that is given in seconds, as whole microseconds.
    fn duration(&self, name: &str, default: f64) -> Micros {
        (self.number(name, default) * SECOND as f64) as Micros
    }

    /// The items of a comma-separated list.
    fn items(&self, name: &str) -> std::str::Split<'a, char> {
        self.text(name).split(',')
    }

    fn item_number(&self, name: &str, position: usize) -> f64 {
        self.items(name).nth(position).map_or(0.0, number_or_zero)
    }
}

fn number_or_zero(text: &str) -> f64 {
    text.parse().unwrap_or(0.0)
}

/// The number as a `u8`, if it is an integer in the range of a `u8`.
fn exact_u8(number: f64) -> Option<u8> {
    let is_integer = number.fract() == 0.0 && (0.0..=f64::from(u8::MAX)).contains(&number);
    is_integer.then_some(number as u8)
}
