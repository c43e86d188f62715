//! Selection of the queue to serve next, and of the item to drop when the queue is full.
//!
//! Invariant: each level serves the backlogged queue with the smallest start tag, and the first one if tags are equal,
//! so the order depends on the tags alone.

use super::flow::{ClassLane, TenantQueue, LANES};
use super::FairQueue;
use std::cmp::Ordering;

/// Minimum weight of a class as a fraction of the greatest weight, so that no class is starved.
pub(super) const MIN_CLASS_WEIGHT: f64 = 0.05;

/// Returns the lane and relative weight of each class.
pub(super) fn class_lanes(weights: &[f64]) -> Vec<ClassLane> {
    let max_weight = weights
        .iter()
        .copied()
        .filter(|weight| weight.is_finite())
        .fold(f64::MIN_POSITIVE, f64::max);
    let class_lane = |(class, weight): (usize, &f64)| {
        let weight = (weight / max_weight).clamp(MIN_CLASS_WEIGHT, 1.0);
        let weight = if weight.is_nan() {
            MIN_CLASS_WEIGHT
        } else {
            weight
        };
        ClassLane {
            lane: class.min(LANES - 1) as u8,
            weight,
        }
    };
    weights.iter().enumerate().map(class_lane).collect()
}

/// Returns the element with the smallest tag, and the first one if tags are equal.
pub(super) fn min_by_tag<T>(
    elements: impl Iterator<Item = T>,
    tag: impl Fn(&T) -> f64,
) -> Option<T> {
    let order = |a: &T, b: &T| -> Ordering { tag(a).total_cmp(&tag(b)) };
    elements.min_by(order)
}

impl FairQueue {
    pub(super) fn next_tenant(&self) -> Option<usize> {
        let backlogged = self
            .tenants
            .iter()
            .enumerate()
            .filter(|(_, tenant)| tenant.waiting > 0);
        min_by_tag(backlogged, |(_, tenant)| tenant.start_tag).map(|(index, _)| index)
    }

    pub(super) fn next_lane(&self, flow: u32) -> Option<usize> {
        let lanes = &self.flows[flow as usize].lanes;
        min_by_tag((0..LANES).filter(|lane| !lanes[*lane].is_empty()), |lane| {
            lanes[*lane].start_tag
        })
    }

    /// Returns the item to drop when the queue is full: in the longest flow of the tenant with the most waiting items
    /// relative to its weight, the last item of the lane with the smallest weight.
    pub fn longest_queue_tail(&self) -> Option<u32> {
        let load = |tenant: &TenantQueue| f64::from(tenant.waiting) / tenant.weight;
        let backlogged = self.tenants.iter().filter(|tenant| tenant.waiting > 0);
        let tenant = backlogged.max_by(|a, b| load(a).total_cmp(&load(b)))?;
        let flow = tenant
            .backlogged
            .iter()
            .copied()
            .max_by_key(|flow| self.flows[*flow as usize].waiting)?;
        let lanes = &self.flows[flow as usize].lanes;
        let lane = min_by_tag((0..LANES).filter(|lane| !lanes[*lane].is_empty()), |lane| {
            self.lane_weight(*lane)
        })?;
        Some(lanes[lane].tail)
    }

    /// Returns the weight of the first class of a lane.
    fn lane_weight(&self, lane: usize) -> f64 {
        let class = self
            .class_lanes
            .iter()
            .find(|class| usize::from(class.lane) == lane);
        class.map_or(0.0, |class| class.weight)
    }
}
