//! The platform's settings, read once into typed values.
//!
//! Names and forms are the platform's. Unknown names are ignored; a number that is missing, unreadable or not finite
//! takes its default. Nothing is decided here.

use crate::host::micros;
use crate::interface::{Micros, Settings};
use crate::time::SECOND;

/// What the decisions need of the settings.
pub(crate) struct RoutingSettings {
    /// `registry_mode` is `on_request`: the endpoint list is polled; otherwise it is pushed (default).
    pub(crate) polls_discovery: bool,
    /// `balancers`: proxies in the deployment; default 1.
    pub(crate) proxies: f64,
    /// `specifics.zone_balancers`: proxies in each zone, by its number; default 0, which counts as one: slow start then
    /// gives each proxy the whole allowance of a cache.
    proxies_by_zone: Vec<f64>,
    /// Proxies in this proxy's own zone.
    pub(crate) proxies_in_own_zone: f64,
    /// `locality`: this proxy's own zone; default 0.
    pub(crate) own_zone: Option<u8>,
    /// `specifics.origin_kind`: the machine kind of the origin; default none.
    pub(crate) origin_kind: Option<u8>,
    /// `specifics.second_tier_kind`: the machine kind of parents; default none.
    pub(crate) parent_kind: Option<u8>,
    /// `weight_kind` is not `off`: endpoints tell their relative capacity (default).
    pub(crate) uses_weights: bool,
    /// `specifics.says` is `all`: caches report how they came by each answer; otherwise only some do (default).
    pub(crate) complete_cache_status: bool,
    /// `specifics.shares_fills`: requests can join a fill that is under way; default false.
    pub(crate) joins_fills: bool,
    /// `specifics.pass_through_ok`: requests may go to parents and to the origin directly; default false.
    pub(crate) may_bypass_caches: bool,
    /// `specifics.flow_kb_per_s`: pace of one transfer; 0 where it is not told (default).
    pub(crate) transfer_kb_per_second: f64,
    /// `specifics.purge_settles_s`: how long copies from before an invalidation may lie about; default 10 s.
    pub(crate) invalidation_settle_time: Micros,
    /// Position of the zone's link load in load reports (`x1` in `feedback.fields`), if it is reported.
    pub(crate) link_load_field: Option<usize>,
    /// Limits of the proxy's answers and attempts.
    pub(crate) limits: LimitSettings,
    cache_slow_start: SlowStartTerms,
    parent_slow_start: SlowStartTerms,
    /// The request classes by index; one more follows for requests whose class the settings do not name.
    pub(crate) classes: Vec<ClassSettings>,
}

/// Limits on attempts and advice to clients.
pub(crate) struct LimitSettings {
    /// `limits.send_cap`: attempts of one request at most; default 4.
    pub(crate) max_attempts: usize,
    /// `limits.cancel`: attempts in flight may be cancelled; default false.
    pub(crate) may_cancel: bool,
    /// `limits.retry_after`: a rejection may tell the client how long to stay away; default false.
    pub(crate) may_advise_retry: bool,
    /// `limits.max_retry_after_s`: the longest such advice; default 0.
    pub(crate) max_retry_after: Micros,
}

/// What the deployment allows an endpoint that starts with an empty cache.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartTerms {
    /// Fraction of its usual load that it bears at first; default 0.05.
    pub(crate) initial_fraction: f64,
    /// Time until it bears all; default 30 s.
    pub(crate) duration: Micros,
    /// Multiple of the allowed load at which it is overloaded; default 2.
    pub(crate) overload_factor: f64,
    /// `guarantees.overload_for_s`: window in which its load is counted; default 1 s.
    pub(crate) overload_window: Micros,
    /// Proxies that send to it.
    pub(crate) proxies: f64,
    /// Endpoints report their capacity (`weight_kind` is not `off`).
    pub(crate) weights_reported: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// Endpoints recognize a repeat by its idempotency key.
    Keyed {
        /// All endpoints share the keys; otherwise only endpoints of one group do.
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
    /// `aim_stretch`: what the objective grows by with each unit of work; default 0.
    pub(crate) objective_per_work: f64,
    /// `specifics.max_age_s`: freshness lifetime of copies; 0 for no limit (default).
    pub(crate) freshness_lifetime: Micros,
    /// `specifics.stale_for_s`: how much longer a copy may serve while its source fails; default 0.
    pub(crate) stale_grace: Micros,
    /// `specifics.goes_through`: answers are never cached; default false.
    pub(crate) uncacheable: bool,
}

impl RoutingSettings {
    /// Reads what is needed; [`RoutingSettings`] documents each name.
    pub(crate) fn read(settings: &Settings) -> RoutingSettings {
        let source = Source(settings);
        let own_zone = source.number("locality", 0.0);
        let zones = "specifics.zone_balancers";
        let load_fields = source.text("feedback.fields").split(',');
        let reports_link = source
            .text("specifics.report_x1")
            .contains("location's_link");
        let class_count = source.number("classes.count", 0.0) as usize;
        let uses_weights = source.text("weight_kind") != "off";
        let overload_window = source.span("guarantees.overload_for_s", 1.0);
        RoutingSettings {
            polls_discovery: source.text("registry_mode") == "on_request",
            proxies: source.number("balancers", 1.0),
            proxies_by_zone: source.items(zones).map(number_or_zero).collect(),
            proxies_in_own_zone: source.item_number(zones, own_zone as usize),
            own_zone: exact_u8(own_zone),
            origin_kind: exact_u8(source.number("specifics.origin_kind", -1.0)),
            parent_kind: exact_u8(source.number("specifics.second_tier_kind", -1.0)),
            uses_weights,
            complete_cache_status: source.text("specifics.says") == "all",
            joins_fills: source.flag("specifics.shares_fills"),
            may_bypass_caches: source.flag("specifics.pass_through_ok"),
            transfer_kb_per_second: source.number("specifics.flow_kb_per_s", 0.0),
            invalidation_settle_time: source.span("specifics.purge_settles_s", 10.0),
            link_load_field: load_fields
                .clone()
                .position(|f| f == "x1")
                .filter(|_| reports_link),
            limits: LimitSettings::read(&source),
            cache_slow_start: SlowStartTerms {
                initial_fraction: source.number("guarantees.cold_from", 0.05),
                duration: source.span("guarantees.warm_after_s", 30.0),
                overload_factor: source.number("guarantees.overload_factor", 2.0),
                overload_window,
                proxies: 0.0,
                weights_reported: uses_weights,
            },
            parent_slow_start: SlowStartTerms {
                initial_fraction: source.number("specifics.upper_cold_from", 0.05),
                duration: source.span("specifics.parent_warms_in_s", 30.0),
                overload_factor: source.number("specifics.parent_fall_multiple", 2.0),
                overload_window,
                proxies: source.number("balancers", 1.0),
                weights_reported: uses_weights,
            },
            classes: (0..=class_count)
                .map(|class| ClassSettings::read(&source, class))
                .collect(),
        }
    }

    /// The terms of slow start of a cache in a zone.
    pub(crate) fn cache_slow_start(&self, zone: usize) -> SlowStartTerms {
        let proxies = self.proxies_by_zone.get(zone).copied().unwrap_or(0.0);
        SlowStartTerms {
            proxies,
            ..self.cache_slow_start
        }
    }

    /// The terms of slow start of a parent, to which all proxies send.
    pub(crate) fn parent_slow_start(&self) -> SlowStartTerms {
        self.parent_slow_start
    }
}

impl LimitSettings {
    fn read(source: &Source) -> LimitSettings {
        LimitSettings {
            max_attempts: source.number("limits.send_cap", 4.0) as usize,
            may_cancel: source.flag("limits.cancel"),
            may_advise_retry: source.flag("limits.retry_after"),
            max_retry_after: source.span("limits.max_retry_after_s", 0.0),
        }
    }
}

impl ClassSettings {
    fn read(source: &Source, class: usize) -> ClassSettings {
        let name = |field: &str| format!("classes.{class}.{field}");
        let idempotency = match source.text(&name("repeat")) {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed {
                shared_by_all: source.text(&name("group")) == "all",
                window: micros(source.number(&name("key_ttl_s"), 0.0)),
            },
            _ => Idempotency::NonIdempotent,
        };
        let seconds = |name| (source.item_number(name, class) * SECOND as f64) as Micros;
        ClassSettings {
            idempotency,
            latency_objective: micros(source.number(&name("goal_time_s"), 1.0)),
            objective_per_work: source.number(&name("aim_stretch"), 0.0),
            freshness_lifetime: seconds("specifics.max_age_s"),
            stale_grace: seconds("specifics.stale_for_s"),
            uncacheable: source.items("specifics.goes_through").nth(class) == Some("true"),
        }
    }
}

/// Reads values by name.
struct Source<'a>(&'a Settings);

impl<'a> Source<'a> {
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

    /// Seconds, as whole microseconds.
    fn span(&self, name: &str, default: f64) -> Micros {
        (self.number(name, default) * SECOND as f64) as Micros
    }

    /// The items of a list that commas part.
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

/// The number as a `u8`, if it is one.
fn exact_u8(number: f64) -> Option<u8> {
    let is_integer = number.fract() == 0.0 && (0.0..=f64::from(u8::MAX)).contains(&number);
    is_integer.then_some(number as u8)
}
