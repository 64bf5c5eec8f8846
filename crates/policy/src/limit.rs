//! How many requests a VM may have at an endpoint.
//!
//! A VM sees only its own part of an endpoint's work, so it cannot tell from
//! its own count whether the endpoint is full. The endpoint's reports tell,
//! late but exactly: a report lowers the limit by a factor when too much is
//! there, and raises it by this VM's part of the spare room if work waited here
//! for want of a higher limit. Each VM adds the same, and a factor takes more
//! from a higher limit, so VMs that share an endpoint come to equal limits.
//!
//! Where reports are missing, the latency of answers against the least seen
//! takes their place (additive increase, multiplicative decrease). With
//! reports it is not used: the latency of a batch grows with each request that
//! joins it, long before the slots are full.
//!
//! A grant from the endpoint's owner ([`crate::credit`]) replaces the limit as
//! long as it lasts.

use std::time::Duration;

use board::{
    Time,
    endpoint::{Endpoint, Load},
    limit::Limit,
};

use crate::health;

/// Slots of an endpoint that has not reported any.
pub const DEFAULT_SLOTS: u32 = 4;

/// Well below one: with many VMs, the fair part of an endpoint is less than a
/// request, and [`room`] adds the parts up.
const LIMIT_MIN: f64 = 0.05;

/// Gain of the moving average of latency.
const LATENCY_GAIN: f64 = 0.1;

/// How fast the least latency seen drifts up to the present one.
const BASE_DRIFT: f64 = 0.001;

/// The endpoint counts as full when latency exceeds the least by this factor.
const LATENCY_FACTOR: f64 = 2.0;

const LATENCY_DECREASE: f64 = 0.9;

/// The lowest factor by which one report changes the limit.
const REPORT_DECREASE: f64 = 0.5;

/// Power of the factor. A report is older than the last change made after it,
/// so following it in full would overshoot.
const REPORT_DAMPING: f64 = 0.15;

/// The part of an endpoint's spare room that all VMs together take after one
/// report, and what they take at least. Growth by a factor would keep unequal
/// limits of VMs unequal.
const SPARE_GAIN: f64 = 0.75;
const SPARE_MIN: f64 = 0.3;

/// Work that may wait at the endpoint, as a part of its slots, and the time
/// that it should last beyond that part: enough that a free slot finds work
/// there, and little enough that order is decided here. Short answers free
/// slots faster than requests arrive to fill them.
const QUEUED_SHARE: f64 = 0.25;
const QUEUED_TIME_S: f64 = 0.015;
const QUEUED_SHARE_MAX: f64 = 1.0;

/// The same before any answer.
const QUEUED_SHARE_UNKNOWN: f64 = 0.5;

/// How long reports of other VMs' work stay meaningful.
const REPORT_LIFE: Duration = Duration::from_millis(1000);

/// Without a report for this long, answers alone move the limit.
const REPORT_TRUST: Duration = Duration::from_secs(3);

const REPORT_GAIN: f64 = 0.3;

/// Returns how many requests `endpoint` runs at once.
pub fn slots(endpoint: &Endpoint) -> u32 {
    match &endpoint.load {
        Some((_, load)) if load.slots > 0 => load.slots,
        _ => DEFAULT_SLOTS,
    }
}

/// Returns how many requests this VM may have at `endpoint`, with a fraction:
/// [`room`] tells what that means for whole requests.
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

/// Returns whether `endpoint` takes one more request of this VM. A fraction
/// counts as a whole one here; [`room`] keeps the sum over endpoints right.
pub fn is_open(endpoint: &Endpoint, now: Time) -> bool {
    f64::from(endpoint.in_flight) < allowed(endpoint, now)
}

/// Returns how many more requests this VM may have at all of `endpoints`.
///
/// Where many VMs share endpoints of few slots, a VM's limit at each is little
/// above one, and rounding each of them would be off by half. Fractions are
/// added up instead. One request is allowed in any case, or a VM whose parts
/// add up to less than one would never learn that there is room again.
pub fn room<'a>(endpoints: impl Iterator<Item = &'a Endpoint>, now: Time) -> u32 {
    let mut allowed_sum = 0.0;
    let mut in_flight = 0;
    for endpoint in endpoints {
        allowed_sum += allowed(endpoint, now);
        in_flight += endpoint.in_flight;
    }
    (allowed_sum.round().max(1.0) as u32).saturating_sub(in_flight)
}

/// Returns how many requests other VMs have at `endpoint`: the last report,
/// which fades to the average of earlier ones as it gets old.
pub fn elsewhere(endpoint: &Endpoint, now: Time) -> f64 {
    let reported = endpoint.other_load;
    let Some(at) = reported.reported_at else {
        return 0.0;
    };
    let age = (now - at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
    let weight = (-age).exp();
    weight * reported.latest + (1.0 - weight) * reported.mean
}

/// Notes a load report that came in at `now`. `vms` is the number of VMs that
/// live, this one included: each of them sees the same spare room.
pub fn report(endpoint: &mut Endpoint, now: Time, load: Load, vms: u32) {
    let total = f64::from(load.in_flight + load.queued);
    let own = f64::from(endpoint.in_flight);
    let others = (total - own).max(0.0);
    let made = now - Duration::from_millis(load.age_ms);
    health::reported(endpoint, now, made);
    let known = &mut endpoint.other_load;
    let is_first = known.reported_at.is_none();
    known.mean += if is_first {
        others
    } else {
        REPORT_GAIN * (others - known.mean)
    };
    known.latest = others;
    known.reported_at = Some(made);
    let slots = f64::from(if load.slots > 0 {
        load.slots
    } else {
        DEFAULT_SLOTS
    });
    let vms = f64::from(vms.max(1));
    if endpoint.load.is_none() {
        // All VMs meet a new endpoint at once. Latency until now tells of what
        // they sent together, so each starts again with its part.
        endpoint.limit.value = Some(slots / vms);
    }
    adjust(endpoint, total, slots, vms);
    endpoint.load = Some((now, load));
}

fn adjust(endpoint: &mut Endpoint, total: f64, slots: f64, vms: f64) {
    let limit = endpoint.limit.value.unwrap_or(slots).min(slots);
    let wanted = slots * (1.0 + queued_share(&endpoint.limit));
    let is_short = std::mem::take(&mut endpoint.limit.has_delayed_work);
    let changed = if total > wanted {
        limit * (wanted / total).powf(REPORT_DAMPING).max(REPORT_DECREASE)
    } else if is_short {
        limit + (SPARE_GAIN * (wanted - total)).max(SPARE_MIN) / vms
    } else {
        limit
    };
    endpoint.limit.value = Some(changed.clamp(LIMIT_MIN, slots));
}

/// Returns the work that may wait at the endpoint, as a part of its slots.
fn queued_share(limit: &Limit) -> f64 {
    if limit.response_s == 0.0 {
        return QUEUED_SHARE_UNKNOWN;
    }
    let lasting = QUEUED_TIME_S / limit.response_s;
    (QUEUED_SHARE + lasting).min(QUEUED_SHARE_MAX)
}

/// Notes that work waits because [`room`] allows no more at `endpoint`.
pub fn short(endpoint: &mut Endpoint, now: Time) {
    let is_bound = f64::from(endpoint.in_flight) + 1.0 > allowed(endpoint, now);
    endpoint.limit.has_delayed_work |= is_bound;
}

/// Notes the latency of an answered request of `cost` units, before the
/// request is taken off the endpoint's count.
pub fn answered(endpoint: &mut Endpoint, now: Time, latency: Duration, cost: u32) {
    let unit_us = latency.as_secs_f64() * 1e6 / f64::from(cost);
    let slots = f64::from(slots(endpoint));
    let own = f64::from(endpoint.in_flight);
    average(&mut endpoint.limit.response_s, latency.as_secs_f64());
    let is_reported = endpoint
        .other_load
        .reported_at
        .is_some_and(|at| now - at < REPORT_TRUST);
    if is_reported {
        return;
    }
    let limit = &mut endpoint.limit;
    observe(limit, unit_us);
    let value = limit.value.unwrap_or(slots).min(slots);
    if limit.latency_us > LATENCY_FACTOR * limit.base_latency_us {
        // One decrease a latency: what is in flight says nothing yet of it.
        if now - limit.lowered_at >= latency {
            limit.value = Some((value * LATENCY_DECREASE).max(LIMIT_MIN));
            limit.lowered_at = now;
        }
    } else if own + 1.0 > value {
        limit.value = Some((value + 1.0 / value).min(slots));
    }
}

/// Brings a moving average up to date; the first value stands by itself.
fn average(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    }
    *mean += LATENCY_GAIN * (value - *mean);
}

fn observe(limit: &mut Limit, unit_us: f64) {
    if limit.latency_us == 0.0 {
        limit.latency_us = unit_us;
        limit.base_latency_us = unit_us;
        return;
    }
    limit.latency_us += LATENCY_GAIN * (unit_us - limit.latency_us);
    limit.base_latency_us += BASE_DRIFT * (limit.latency_us - limit.base_latency_us);
    limit.base_latency_us = limit.base_latency_us.min(limit.latency_us);
}
