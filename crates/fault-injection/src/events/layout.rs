//! Where relays and subscribers stand: ten regions with 37 zones, a relay in each of the first zones.

pub const REGIONS: usize = 10;
pub const ZONES: usize = 37;

pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

pub fn relay_name(relay: usize) -> String {
    format!("relay-{relay}")
}

pub fn subscriber_name(subscriber: usize) -> String {
    format!("subscriber-{subscriber}")
}

pub fn zone_of(member: usize) -> usize {
    member % ZONES
}

pub fn region_of(member: usize) -> usize {
    zone_of(member) % REGIONS
}
