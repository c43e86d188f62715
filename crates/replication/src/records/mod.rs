//! Encoding and rank of the records of each type. The rank is the type's rule for conflict resolution: of two records
//! of one key, the one with the larger rank wins.

mod bounded_name;
mod claim;
mod endpoint;
mod observation;
mod purge;

pub use claim::{claim_prefix, claim_record, decode_claim, Claim, ClaimState, MAX_PLAIN_KEY_BYTES};
pub use endpoint::{decode_endpoint, endpoint_record, EndpointInfo, EndpointPhase};
pub use observation::{decode_observation, observation_prefix, observation_record, Observation};
pub use purge::{decode_purge, purge_record};
