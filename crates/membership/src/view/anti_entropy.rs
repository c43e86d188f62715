//! Anti-entropy: two proxies compare digests of their views and exchange the records that differ.
//!
//! The first proxy sends the digest of its complete view. If the digest of the second proxy differs, it replies with
//! its bucket digests. The first proxy then replies with an inventory of the buckets that differ, and the second proxy
//! with requests for the records that it lacks and with the records that are newer in its own view. A proxy that knows
//! fewer than half as many members as the other is sent random records instead.
//!
//! No step keeps state of the exchange. If an exchange is cut short by message loss or by the send budget, a later
//! exchange makes up for it.

use super::recipients::Recipient;
use super::transfer::MAX_DATAGRAM_RECORDS;
use super::{Action, Change, View};
use crate::wire::{BucketDigests, Payload, RootDigest};

/// Number of records sent to a proxy that knows few members. Over a stream, at least as many records are sent as the
/// proxy knows members, which doubles its view.
const BOOTSTRAP_RECORDS: usize = MAX_DATAGRAM_RECORDS;

impl View {
    /// Handles the digest of another proxy's complete view.
    pub(super) fn receive_root_digest(
        &mut self,
        sender: Recipient,
        root: RootDigest,
        actions: &mut Vec<Action>,
    ) {
        if root.digest == self.digest.root() {
            return self.mark_joined(actions);
        }
        let knows_few = root.count.saturating_mul(2) < self.present_count() as u64;
        if !self.may_send_deferrable() {
            return;
        }
        if knows_few {
            self.bootstrap(sender, root.count as usize, actions);
        } else {
            let digests = self.digest.bucket_digests();
            self.send(
                sender,
                Some(Payload::BucketDigests(BucketDigests { digests })),
                actions,
            );
        }
    }

    /// Sends records of random members to a proxy that knows few members. It learns of more members from these, so that
    /// a few contacts do not have to send the complete view to all joining proxies.
    fn bootstrap(&mut self, to: Recipient, known: usize, actions: &mut Vec<Action>) {
        let count = if self.can_stream(to.address) {
            BOOTSTRAP_RECORDS.max(known)
        } else {
            BOOTSTRAP_RECORDS
        };
        let names = self
            .random_peers(count, to.name)
            .into_iter()
            .map(|peer| peer.name)
            .collect();
        self.send_records(to, names, actions);
    }

    /// Records that this proxy's view is equal to the view of another proxy.
    pub(super) fn mark_joined(&mut self, actions: &mut Vec<Action>) {
        if !self.joined {
            self.joined = true;
            actions.push(Action::Notify(Change::Joined));
        }
    }
}
