//! The state of a view that a host can read: its members, this proxy, and whether the membership is stable.

use super::{Member, View};
use crate::claim::{Claim, MemberState};
use crate::wire::Body;
use crate::Micros;

impl View {
    /// This proxy's name.
    pub fn name(&self) -> &str {
        &self.own.name
    }

    /// This proxy's claim about itself and the body that it publishes.
    pub fn own(&self) -> (Claim, &Body) {
        (self.own.claim, &self.own.body)
    }

    /// All known members except this proxy. Members that are dead or have left are included until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// The member with this name, if it is known and is not this proxy.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of present members, including this proxy.
    pub fn present_count(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.claim.state.is_present())
            .count()
            + 1
    }

    /// Hash of the present members and their revisions. It is equal on all proxies whose views agree.
    pub fn digest(&self) -> u64 {
        self.digest.root()
    }

    /// Number of times that a member's published body was learned or replaced. The first body of a member is counted
    /// although it is not reported as a [`Change::BodyReplaced`](super::Change::BodyReplaced).
    pub fn body_updates(&self) -> u64 {
        self.body_updates
    }

    /// When the membership last changed, or `None` while a member is suspected or this proxy has not joined.
    pub fn settled_since(&self) -> Option<Micros> {
        let suspects = self
            .members
            .values()
            .any(|m| m.claim.state == MemberState::Suspected);
        (!suspects && self.joined).then_some(self.membership_changed_at)
    }

    /// Whether this proxy's view has been equal to the view of another proxy since it started.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// The local health score: 0 is healthy, and larger scores lengthen timeouts.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Whether this proxy has withdrawn because another live process has its name.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn
    }

    /// Whether this proxy's departure is complete: enough members have confirmed it, or its deadline has passed.
    pub fn has_left(&self) -> bool {
        self.departure
            .as_ref()
            .is_some_and(|departure| departure.is_complete(self.now))
    }

    /// Names of the members that probe this member.
    pub fn observers_of(&self, name: &str) -> Vec<&str> {
        self.rings
            .observers_of(name, |name| self.is_unhealthy(name))
    }
}
