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
const BASE_LATENCY_DRIFT: f64 = 0.001;

/// The endpoint counts as full when latency exceeds the least by this factor.
const LATENCY_FACTOR_MAX: f64 = 2.0;

const LATENCY_DECREASE_FACTOR: f64 = 0.9;

/// The lowest factor by which one report changes the limit.
const REPORT_FACTOR_MIN: f64 = 0.5;

/// Power of the factor. A report is older than the last change made after it,
/// so following it in full would overshoot.
const REPORT_DAMPING_EXPONENT: f64 = 0.15;

/// The part of an endpoint's spare room that all VMs together take after one
/// report, and what they take at least. Growth by a factor would keep unequal
/// limits of VMs unequal.
const SPARE_FRACTION: f64 = 0.75;
const SPARE_SLOTS_MIN: f64 = 0.3;

/// Work that may wait at the endpoint, as a part of its slots, and the time
/// that it should last beyond that part: enough that a free slot finds work
/// there, and little enough that order is decided here. Short answers free
/// slots faster than requests arrive to fill them.
const QUEUED_FRACTION_MIN: f64 = 0.25;
const QUEUED_TIME_S: f64 = 0.015;
const QUEUED_FRACTION_MAX: f64 = 1.0;

/// The same before any answer.
const QUEUED_FRACTION_DEFAULT: f64 = 0.5;

/// How long reports of other VMs' work stay meaningful.
const REPORT_FADE_TIME: Duration = Duration::from_millis(1000);

/// Without a report for this long, answers alone move the limit.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);

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
        && now < credit.until
    {
        return credit.slots;
    }
    let slots = f64::from(slots(endpoint));
    let limit = endpoint.limit.value.unwrap_or(slots);
    limit.clamp(LIMIT_MIN, slots)
}

/// Returns whether `endpoint` takes one more request of this VM. A fraction
/// counts as a whole one here; [`room`] keeps the sum over endpoints right.
pub fn is_below_limit(endpoint: &Endpoint, now: Time) -> bool {
    f64::from(endpoint.in_flight) < allowed(endpoint, now)
}

/// Returns how many more requests this VM may have at all of `endpoints`.
///
/// Where many VMs share endpoints of few slots, a VM's limit at each is little
/// above one, and rounding each of them would be off by half. Fractions are
/// added up instead. One request is allowed in any case, or a VM whose parts
/// add up to less than one would never learn that there is room again.
pub fn headroom<'a>(endpoints: impl Iterator<Item = &'a Endpoint>, now: Time) -> u32 {
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
pub fn others_in_flight(endpoint: &Endpoint, now: Time) -> f64 {
    let reported = endpoint.elsewhere;
    let Some(at) = reported.at else {
        return 0.0;
    };
    let age = (now - at).as_secs_f64() / REPORT_FADE_TIME.as_secs_f64();
    let weight = (-age).exp();
    weight * reported.last + (1.0 - weight) * reported.mean
}

/// Notes a load report that came in at `now`. `vms` is the number of VMs that
/// live, this one included: each of them sees the same spare room.
pub fn record_report(endpoint: &mut Endpoint, now: Time, load: Load, vms: u32) {
    let total = f64::from(load.in_flight + load.queued);
    let own = f64::from(endpoint.in_flight);
    let others = (total - own).max(0.0);
    let made_at = now - Duration::from_millis(load.age_ms);
    health::record_report(endpoint, now, made_at);
    let history = &mut endpoint.elsewhere;
    let is_first = history.at.is_none();
    history.mean += if is_first {
        others
    } else {
        REPORT_GAIN * (others - history.mean)
    };
    history.last = others;
    history.at = Some(made_at);
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
    let target_total = slots * (1.0 + queued_fraction(&endpoint.limit));
    let is_short = std::mem::take(&mut endpoint.limit.is_short);
    let changed = if total > target_total {
        limit
            * (target_total / total)
                .powf(REPORT_DAMPING_EXPONENT)
                .max(REPORT_FACTOR_MIN)
    } else if is_short {
        limit + (SPARE_FRACTION * (target_total - total)).max(SPARE_SLOTS_MIN) / vms
    } else {
        limit
    };
    endpoint.limit.value = Some(changed.clamp(LIMIT_MIN, slots));
}

/// Returns the work that may wait at the endpoint, as a part of its slots.
fn queued_fraction(limit: &Limit) -> f64 {
    if limit.answer_s == 0.0 {
        return QUEUED_FRACTION_DEFAULT;
    }
    let fraction_for_time = QUEUED_TIME_S / limit.answer_s;
    (QUEUED_FRACTION_MIN + fraction_for_time).min(QUEUED_FRACTION_MAX)
}

/// Notes that work waits because [`room`] allows no more at `endpoint`.
pub fn record_shortage(endpoint: &mut Endpoint, now: Time) {
    let is_limited = f64::from(endpoint.in_flight) + 1.0 > allowed(endpoint, now);
    endpoint.limit.is_short |= is_limited;
}

/// Notes the latency of an answered request of `cost` units, before the
/// request is taken off the endpoint's count.
pub fn record_answer(endpoint: &mut Endpoint, now: Time, latency: Duration, cost: u32) {
    let unit_us = latency.as_secs_f64() * 1e6 / f64::from(cost);
    let slots = f64::from(slots(endpoint));
    let own = f64::from(endpoint.in_flight);
    update_average(&mut endpoint.limit.answer_s, latency.as_secs_f64());
    let has_recent_report = endpoint
        .elsewhere
        .at
        .is_some_and(|at| now - at < REPORT_AGE_MAX);
    if has_recent_report {
        return;
    }
    let limit = &mut endpoint.limit;
    update_latency(limit, unit_us);
    let value = limit.value.unwrap_or(slots).min(slots);
    if limit.latency_us > LATENCY_FACTOR_MAX * limit.base_us {
        // One decrease a latency: what is in flight says nothing yet of it.
        if now - limit.lowered >= latency {
            limit.value = Some((value * LATENCY_DECREASE_FACTOR).max(LIMIT_MIN));
            limit.lowered = now;
        }
    } else if own + 1.0 > value {
        limit.value = Some((value + 1.0 / value).min(slots));
    }
}

/// Brings a moving average up to date; the first value stands by itself.
fn update_average(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    }
    *mean += LATENCY_GAIN * (value - *mean);
}

fn update_latency(limit: &mut Limit, unit_us: f64) {
    if limit.latency_us == 0.0 {
        limit.latency_us = unit_us;
        limit.base_us = unit_us;
        return;
    }
    limit.latency_us += LATENCY_GAIN * (unit_us - limit.latency_us);
    limit.base_us += BASE_LATENCY_DRIFT * (limit.latency_us - limit.base_us);
    limit.base_us = limit.base_us.min(limit.latency_us);
}
