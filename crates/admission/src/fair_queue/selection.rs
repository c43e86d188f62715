//! Which queue is served next, and which one loses an item when the queue is full.
//!
//! Invariant: each level serves the backlogged queue with the least start tag, the first of equal ones, so the order
//! depends on the tags alone.

use super::flow::{ClassLane, TenantQueue, LANES};
use super::FairQueue;
use std::cmp::Ordering;

/// Least weight of a class, against the greatest one: none is starved.
pub(super) const MIN_CLASS_WEIGHT: f64 = 0.05;

/// The lane and weight of each class, by the weight of a request of it.
pub(super) fn class_lanes(weights: &[f64]) -> Vec<ClassLane> {
    let greatest = weights
        .iter()
        .copied()
        .filter(|weight| weight.is_finite())
        .fold(f64::MIN_POSITIVE, f64::max);
    let class_lane = |(class, weight): (usize, &f64)| {
        let weight = (weight / greatest).clamp(MIN_CLASS_WEIGHT, 1.0);
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

/// The element with the least tag, the first of equal ones.
pub(super) fn least_by<T>(elements: impl Iterator<Item = T>, tag: impl Fn(&T) -> f64) -> Option<T> {
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
        least_by(backlogged, |(_, tenant)| tenant.start_tag).map(|(index, _)| index)
    }

    pub(super) fn next_lane(&self, flow: u32) -> Option<usize> {
        let lanes = &self.flows[flow as usize].lanes;
        least_by((0..LANES).filter(|lane| !lanes[*lane].is_empty()), |lane| {
            lanes[*lane].start_tag
        })
    }

    /// The last item of the longest queue, in its lane of the least weight: the one to drop when the queue is full.
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
        let lane = least_by((0..LANES).filter(|lane| !lanes[*lane].is_empty()), |lane| {
            self.lane_weight(*lane)
        })?;
        Some(lanes[lane].tail)
    }

    /// The weight of the first class of a lane.
    fn lane_weight(&self, lane: usize) -> f64 {
        let class = self
            .class_lanes
            .iter()
            .find(|class| usize::from(class.lane) == lane);
        class.map_or(0.0, |class| class.weight)
    }
}
