//! Adaptive concurrency limit: how many requests of this VM may be in flight at
//! an endpoint.
//!
//! A VM sees only its own requests, so its own count does not show whether the
//! endpoint is full. The endpoint's load reports do, exactly but with a delay.
//! A report above the target lowers the limit by a factor. A report below it
//! raises the limit by this VM's share of the spare slots, if requests were
//! queued on this VM because of the limit. All VMs add the same amount, while
//! the factor lowers a higher limit by more, so the limits of VMs that share an
//! endpoint converge.
//!
//! Without recent reports, the limit follows the latency of answers relative to
//! the base latency (additive increase, multiplicative decrease). With reports,
//! the latency is not used: the latency of a batch grows with each request that
//! joins it, long before the slots are full.
//!
//! A grant from the endpoint's owner ([`crate::credit`]) replaces the limit
//! until the grant expires.

use std::time::Duration;

use board::{
    Time,
    endpoint::{Endpoint, Load},
    limit::Limit,
};

use crate::health;

/// Slots assumed for an endpoint that has not reported any.
pub const DEFAULT_SLOTS: u32 = 4;

/// The lowest limit. It is far below one, because with many VMs the fair share
/// of an endpoint is less than one request. [`headroom`] sums these fractions.
const LIMIT_MIN: f64 = 0.05;

/// Gain of the moving average of the latency.
const LATENCY_GAIN: f64 = 0.1;

/// Gain by which the base latency drifts up to the average latency.
const BASE_LATENCY_DRIFT: f64 = 0.001;

/// The endpoint counts as full when the latency exceeds the base latency by
/// this factor.
const LATENCY_FACTOR_MAX: f64 = 2.0;

const LATENCY_DECREASE_FACTOR: f64 = 0.9;

/// The lowest factor that one report applies to the limit.
const REPORT_FACTOR_MIN: f64 = 0.5;

/// Exponent of the factor. A report is older than the latest change of the
/// limit, so applying the full factor would overshoot.
const REPORT_DAMPING_EXPONENT: f64 = 0.15;

/// All VMs together add this fraction of an endpoint's spare slots after one
/// report, and at least `SPARE_SLOTS_MIN` slots. The increase is additive
/// because growth by a factor would preserve unequal limits.
const SPARE_FRACTION: f64 = 0.75;
const SPARE_SLOTS_MIN: f64 = 0.3;

/// Requests that may be queued at the endpoint: this fraction of its slots,
/// plus what it serves in `QUEUED_TIME_S`, up to `QUEUED_FRACTION_MAX`. A short
/// queue at the endpoint keeps its slots busy. With a long one, the endpoint
/// instead of this VM would decide the order of requests. Endpoints with short
/// answers free their slots faster than new requests arrive, so they need the
/// longer queue.
const QUEUED_FRACTION_MIN: f64 = 0.25;
const QUEUED_TIME_S: f64 = 0.015;
const QUEUED_FRACTION_MAX: f64 = 1.0;

/// The queued fraction until an answer has been measured.
const QUEUED_FRACTION_DEFAULT: f64 = 0.5;

/// Time constant with which the latest report of other VMs' requests decays
/// towards the average of earlier ones.
const REPORT_FADE_TIME: Duration = Duration::from_millis(1000);

/// Without a report for this long, the latency of answers adjusts the limit.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);

/// Gain of the moving average of other VMs' requests.
const REPORT_GAIN: f64 = 0.3;

/// Returns how many requests `endpoint` runs concurrently.
pub fn slots(endpoint: &Endpoint) -> u32 {
    match &endpoint.load {
        Some((_, load)) if load.slots > 0 => load.slots,
        _ => DEFAULT_SLOTS,
    }
}

/// Returns how many requests this VM may have at `endpoint`. The value may be
/// fractional; [`headroom`] rounds the sum over all endpoints.
pub fn allowed(endpoint: &Endpoint, now: Time) -> f64 {
    if let Some(credit) = endpoint.credit
        && now < credit.expires_at
    {
        return credit.slots;
    }
    let slots = f64::from(slots(endpoint));
    let limit = endpoint.limit.value.unwrap_or(slots);
    limit.clamp(LIMIT_MIN, slots)
}

/// Returns whether this VM may send one more request to `endpoint`. A fraction
/// counts as a full request here; [`headroom`] bounds the sum over endpoints.
pub fn is_below_limit(endpoint: &Endpoint, now: Time) -> bool {
    f64::from(endpoint.in_flight) < allowed(endpoint, now)
}

/// Returns how many more requests this VM may have at all of `endpoints`.
///
/// When many VMs share endpoints with few slots, a VM's limit at each is about
/// one, and rounding each limit would be off by up to a half. So the limits are
/// summed first and the sum is rounded. At least one request is always allowed;
/// otherwise a VM whose limits add up to less than a half would never detect
/// that slots have become free.
pub fn headroom<'a>(endpoints: impl Iterator<Item = &'a Endpoint>, now: Time) -> u32 {
    let mut allowed_sum = 0.0;
    let mut in_flight = 0;
    for endpoint in endpoints {
        allowed_sum += allowed(endpoint, now);
        in_flight += endpoint.in_flight;
    }
    (allowed_sum.round().max(1.0) as u32).saturating_sub(in_flight)
}

/// Returns how many requests other VMs have at `endpoint`: the latest report,
/// which decays to the average of earlier ones as it ages.
pub fn others_in_flight(endpoint: &Endpoint, now: Time) -> f64 {
    let reported = endpoint.other_load;
    let Some(at) = reported.reported_at else {
        return 0.0;
    };
    let age = (now - at).as_secs_f64() / REPORT_FADE_TIME.as_secs_f64();
    let weight = (-age).exp();
    weight * reported.latest + (1.0 - weight) * reported.mean
}

/// Records a load report that was received at `now`. `vms` is the number of
/// live VMs, this one included, among which the spare slots are divided.
pub fn record_report(endpoint: &mut Endpoint, now: Time, load: Load, vms: u32) {
    let total = f64::from(load.in_flight + load.queued);
    let own = f64::from(endpoint.in_flight);
    let others = (total - own).max(0.0);
    let made_at = now - Duration::from_millis(load.age_ms);
    health::record_report(endpoint, now, made_at);
    let other_load = &mut endpoint.other_load;
    let is_first = other_load.reported_at.is_none();
    other_load.mean += if is_first {
        others
    } else {
        REPORT_GAIN * (others - other_load.mean)
    };
    other_load.latest = others;
    other_load.reported_at = Some(made_at);
    let slots = f64::from(if load.slots > 0 {
        load.slots
    } else {
        DEFAULT_SLOTS
    });
    let vms = f64::from(vms.max(1));
    if endpoint.load.is_none() {
        // All VMs discover a new endpoint at the same time. The latency so far
        // reflects the requests that all of them sent, so each VM restarts from
        // an equal share of the slots.
        endpoint.limit.value = Some(slots / vms);
    }
    adjust(endpoint, total, slots, vms);
    endpoint.load = Some((now, load));
}

fn adjust(endpoint: &mut Endpoint, total: f64, slots: f64, vms: f64) {
    let limit = endpoint.limit.value.unwrap_or(slots).min(slots);
    let target_total = slots * (1.0 + queued_fraction(&endpoint.limit));
    let has_shortage = std::mem::take(&mut endpoint.limit.has_delayed_work);
    let changed = if total > target_total {
        limit
            * (target_total / total)
                .powf(REPORT_DAMPING_EXPONENT)
                .max(REPORT_FACTOR_MIN)
    } else if has_shortage {
        limit + (SPARE_FRACTION * (target_total - total)).max(SPARE_SLOTS_MIN) / vms
    } else {
        limit
    };
    endpoint.limit.value = Some(changed.clamp(LIMIT_MIN, slots));
}

/// Returns how many requests may be queued at the endpoint, as a fraction of
/// its slots.
fn queued_fraction(limit: &Limit) -> f64 {
    if limit.response_s == 0.0 {
        return QUEUED_FRACTION_DEFAULT;
    }
    let fraction_for_time = QUEUED_TIME_S / limit.response_s;
    (QUEUED_FRACTION_MIN + fraction_for_time).min(QUEUED_FRACTION_MAX)
}

/// Records that requests are queued because [`headroom`] allows no more at
/// `endpoint`.
pub fn record_shortage(endpoint: &mut Endpoint, now: Time) {
    let is_limited = f64::from(endpoint.in_flight) + 1.0 > allowed(endpoint, now);
    endpoint.limit.has_delayed_work |= is_limited;
}

/// Records the latency of an answered request of `cost` units. Must be called
/// before the request is removed from the endpoint's in-flight count.
pub fn record_answer(endpoint: &mut Endpoint, now: Time, latency: Duration, cost: u32) {
    let unit_us = latency.as_secs_f64() * 1e6 / f64::from(cost);
    let slots = f64::from(slots(endpoint));
    let own = f64::from(endpoint.in_flight);
    update_average(&mut endpoint.limit.response_s, latency.as_secs_f64());
    let has_recent_report = endpoint
        .other_load
        .reported_at
        .is_some_and(|at| now - at < REPORT_AGE_MAX);
    if has_recent_report {
        return;
    }
    let limit = &mut endpoint.limit;
    update_latency(limit, unit_us);
    let value = limit.value.unwrap_or(slots).min(slots);
    if limit.latency_us > LATENCY_FACTOR_MAX * limit.base_latency_us {
        // At most one decrease per latency period: requests already in flight
        // do not reflect the previous decrease yet.
        if now - limit.lowered_at >= latency {
            limit.value = Some((value * LATENCY_DECREASE_FACTOR).max(LIMIT_MIN));
            limit.lowered_at = now;
        }
    } else if own + 1.0 > value {
        limit.value = Some((value + 1.0 / value).min(slots));
    }
}

/// Updates a moving average. The first value initializes it.
fn update_average(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    }
    *mean += LATENCY_GAIN * (value - *mean);
}

fn update_latency(limit: &mut Limit, unit_us: f64) {
    if limit.latency_us == 0.0 {
        limit.latency_us = unit_us;
        limit.base_latency_us = unit_us;
        return;
    }
    limit.latency_us += LATENCY_GAIN * (unit_us - limit.latency_us);
    limit.base_latency_us += BASE_LATENCY_DRIFT * (limit.latency_us - limit.base_latency_us);
    limit.base_latency_us = limit.base_latency_us.min(limit.latency_us);
}
