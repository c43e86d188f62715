//! Names and placement of relays and subscribers: ten regions with 37 zones, and a relay in each of the first zones.

/// Number of regions.
pub const REGIONS: usize = 10;
/// Number of zones, over all regions.
pub const ZONES: usize = 37;

/// The name of a zone in settings and identities.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The name of a region in settings and identities.
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

/// The name of a relay in settings and of its files.
pub fn relay_name(relay: usize) -> String {
    format!("relay-{relay}")
}

/// The name of a subscriber in its identity and in findings.
pub fn subscriber_name(subscriber: usize) -> String {
    format!("subscriber-{subscriber}")
}

/// The zone of the relay or subscriber with this number.
pub fn zone_of(member: usize) -> usize {
    member % ZONES
}

/// The region of the relay or subscriber with this number.
pub fn region_of(member: usize) -> usize {
    zone_of(member) % REGIONS
}
