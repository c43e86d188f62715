//! The id of a request's side effect, by which the router recognizes requests that repeat one.

use super::Proxy;
use std::hash::BuildHasher;

impl Proxy {
    /// Identifies the side effect of a request: by its class and its idempotency key or, without one, its id and what it
    /// is for. 0 for a request without side effect.
    pub(super) fn effect_id(&self, id: u32) -> u64 {
        let Some(request) = self.requests.get(id) else {
            return 0;
        };
        if !self.config.classes[request.class].has_effect {
            return 0;
        }
        let message = &request.message;
        let hash = match &message.idempotency_key {
            Some(key) => self.effect_hasher.hash_one((request.class, key.as_str())),
            None => {
                let target = (message.id, message.object, message.part);
                self.effect_hasher.hash_one((request.class, target))
            }
        };
        // 0 means no effect.
        hash.max(1)
    }
}
