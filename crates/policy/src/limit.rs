//! How many requests a VM may have at an endpoint.
//!
//! A VM sees only its own part of an endpoint's work, so it cannot tell from
//! its own count whether the endpoint is full. Two signals tell: the latency
//! of its own answers against the least that it has seen (at once, but noisy)
//! and the endpoint's reports (exact, but late). Either lowers the limit by a
//! factor; while neither does and the limit is in use, it grows by a constant.
//! Additive growth and multiplicative decrease bring VMs that share an
//! endpoint to equal limits.
//!
//! A grant from the endpoint's owner ([`crate::credit`]) replaces the limit as
//! long as it lasts.

use std::time::Duration;

use board::{
    Time,
    endpoint::{Endpoint, Load},
    limit::Limit,
};

/// Slots of an endpoint that has not reported any.
pub const DEFAULT_SLOTS: u32 = 4;

const LIMIT_MIN: f64 = 1.0;

/// Gain of the moving average of latency.
const LATENCY_GAIN: f64 = 0.1;

/// How fast the least latency seen drifts up to the present one.
const BASE_DRIFT: f64 = 0.001;

/// The endpoint counts as full when latency exceeds the least by this factor.
const LATENCY_FACTOR: f64 = 2.0;

const LATENCY_DECREASE: f64 = 0.9;
const REPORT_DECREASE_MIN: f64 = 0.5;

/// Growth for each report that shows room.
const REPORT_INCREASE: f64 = 0.5;

/// Work that may wait at the endpoint, as a part of its slots: enough that a
/// free slot finds work there, and small enough that order is decided here.
const QUEUED_SHARE: f64 = 0.125;

/// How long reports of other VMs' work stay meaningful.
const REPORT_LIFE: Duration = Duration::from_millis(1000);

const REPORT_GAIN: f64 = 0.3;

/// Returns how many requests `endpoint` runs at once.
pub fn slots(endpoint: &Endpoint) -> u32 {
    match &endpoint.load {
        Some((_, load)) if load.slots > 0 => load.slots,
        _ => DEFAULT_SLOTS,
    }
}

/// Returns how many requests this VM may have at `endpoint`.
pub fn allowed(endpoint: &Endpoint, now: Time) -> u32 {
    if let Some(credit) = endpoint.credit
        && now < credit.until
    {
        return credit.slots;
    }
    let slots = slots(endpoint);
    let limit = endpoint.limit.value.unwrap_or(f64::from(slots));
    (limit.max(LIMIT_MIN) as u32).min(slots)
}

/// Returns how many requests other VMs have at `endpoint`: the last report,
/// which fades to the average of earlier ones as it gets old.
pub fn elsewhere(endpoint: &Endpoint, now: Time) -> f64 {
    let reported = endpoint.elsewhere;
    let Some(at) = reported.at else {
        return 0.0;
    };
    let age = (now - at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
    let weight = (-age).exp();
    weight * reported.last + (1.0 - weight) * reported.mean
}

/// Notes a load report that came in at `now`.
pub fn report(endpoint: &mut Endpoint, now: Time, load: Load) {
    let total = f64::from(load.in_flight + load.queued);
    let own = f64::from(endpoint.in_flight);
    let others = (total - own).max(0.0);
    let known = &mut endpoint.elsewhere;
    let is_first = known.at.is_none();
    known.mean += if is_first {
        others
    } else {
        REPORT_GAIN * (others - known.mean)
    };
    known.last = others;
    known.at = Some(now - Duration::from_millis(load.age_ms));
    let slots = f64::from(if load.slots > 0 {
        load.slots
    } else {
        DEFAULT_SLOTS
    });
    adjust(endpoint, total, slots);
    endpoint.load = Some((now, load));
}

fn adjust(endpoint: &mut Endpoint, total: f64, slots: f64) {
    let limit = endpoint.limit.value.unwrap_or(slots).min(slots);
    let wanted = slots * (1.0 + QUEUED_SHARE);
    let is_in_use = f64::from(endpoint.in_flight) + 1.0 >= limit;
    let changed = if total > wanted {
        limit * (wanted / total).max(REPORT_DECREASE_MIN)
    } else if is_in_use {
        limit + REPORT_INCREASE
    } else {
        limit
    };
    endpoint.limit.value = Some(changed.clamp(LIMIT_MIN, slots));
}

/// Notes the latency of an answered request of `cost` units, before the
/// request is taken off the endpoint's count.
pub fn answered(endpoint: &mut Endpoint, now: Time, latency: Duration, cost: u32) {
    let unit_us = latency.as_secs_f64() * 1e6 / f64::from(cost);
    let slots = f64::from(slots(endpoint));
    let own = f64::from(endpoint.in_flight);
    let limit = &mut endpoint.limit;
    observe(limit, unit_us);
    let value = limit.value.unwrap_or(slots).min(slots);
    if limit.latency_us > LATENCY_FACTOR * limit.base_us {
        // One decrease a latency: what is in flight says nothing yet of it.
        if now - limit.lowered >= latency {
            limit.value = Some((value * LATENCY_DECREASE).max(LIMIT_MIN));
            limit.lowered = now;
        }
    } else if own + 1.0 > value {
        limit.value = Some((value + 1.0 / value).min(slots));
    }
}

fn observe(limit: &mut Limit, unit_us: f64) {
    if limit.latency_us == 0.0 {
        limit.latency_us = unit_us;
        limit.base_us = unit_us;
        return;
    }
    limit.latency_us += LATENCY_GAIN * (unit_us - limit.latency_us);
    limit.base_us += BASE_DRIFT * (limit.latency_us - limit.base_us);
    limit.base_us = limit.base_us.min(limit.latency_us);
}
