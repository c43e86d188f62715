//! What a host can read of a view: its members, this proxy, and how settled it is.

use super::{Member, View};
use crate::claim::{Claim, MemberState};
use crate::wire::Body;
use crate::Micros;

impl View {
    /// This proxy's name.
    pub fn name(&self) -> &str {
        &self.own.name
    }

    /// What this proxy publishes of itself.
    pub fn own(&self) -> (Claim, &Body) {
        (self.own.claim, &self.own.body)
    }

    /// All known members but this proxy, with those that are dead or have left until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// The member of that name, if it is known and not this proxy.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of present members, this proxy included.
    pub fn present_count(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.claim.state.is_present())
            .count()
            + 1
    }

    /// Hash over the present members and their revisions: equal at all proxies whose views agree.
    pub fn digest(&self) -> u64 {
        self.digest.root()
    }

    /// Number of times a member's published body was learned or replaced. A member's first one counts here although it
    /// is not reported as a [`Change::BodyReplaced`](super::Change::BodyReplaced).
    pub fn body_updates(&self) -> u64 {
        self.body_updates
    }

    /// When the membership last changed; none while a member is suspected or this proxy has not joined.
    pub fn settled_since(&self) -> Option<Micros> {
        let suspects = self
            .members
            .values()
            .any(|m| m.claim.state == MemberState::Suspected);
        (!suspects && self.joined).then_some(self.membership_changed_at)
    }

    /// Whether this proxy's view has agreed with that of another proxy since it started.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// The local health score: 0 is healthy, larger ones make probe timeouts longer.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Whether this proxy has withdrawn because another live process has its name.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn
    }

    /// Whether a departure is complete: enough members have confirmed it, or its deadline has passed.
    pub fn has_left(&self) -> bool {
        self.departure
            .as_ref()
            .is_some_and(|departure| departure.is_complete(self.now))
    }

    /// Names of those that probe this member.
    pub fn observers_of(&self, name: &str) -> Vec<&str> {
        self.rings
            .observers_of(name, |name| self.is_unhealthy(name))
    }
}
