//! Anti-entropy: two proxies compare digests of their views and exchange what differs.
//!
//! One sends the digest of its whole view. Where the other's differs it replies with its bucket digests, the first with
//! an inventory of the buckets that differ, and the other with requests for the records that it lacks and with those that
//! it knows better. A proxy that knows far fewer members than the other is sent random records instead.
//!
//! No step keeps state: an exchange that is cut short by loss or by the send budget is made up for by a later one.

use super::recipients::Recipient;
use super::transfer::MAX_DATAGRAM_RECORDS;
use super::{Action, Change, View};
use crate::wire::{BucketDigests, Payload, RootDigest};

/// Records sent to a proxy that knows few members; over a stream as many as it knows, which doubles them.
const BOOTSTRAP_RECORDS: usize = MAX_DATAGRAM_RECORDS;

impl View {
    /// The digest of another proxy's whole view.
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

    /// Sends records of random members to a proxy that knows few. It learns of others from those, so that a few contacts
    /// need not send the whole view to all that join.
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

    /// This proxy's view agrees with that of another.
    pub(super) fn mark_joined(&mut self, actions: &mut Vec<Action>) {
        if !self.joined {
            self.joined = true;
            actions.push(Action::Notify(Change::Joined));
        }
    }
}
