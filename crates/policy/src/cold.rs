//! Requests to cold endpoints: for some time after a start, and at other moments,
//! an endpoint bears only a low rate of requests from all VMs together.
//!
//! No answer tells a caller that an endpoint is cold, and an endpoint is cold
//! before VMs know it. So three limits work together:
//!
//! - A VM that takes an endpoint for cold sends to it only with a permit, which
//!   expires soon. The coordinators grant them at the rate that the service
//!   states, without saving any ([`Bucket::take_unsaved`]), so the sum over all
//!   these VMs is at most [`granted_max`] in any second.
//! - Each VM counts what it has sent lately, also while it takes the endpoint for
//!   warm, and stays within [`Bounds::requests_max`] on its own.
//! - What is left between the two is for VMs that do not know.
//!
//! [`Bucket::take_unsaved`]: crate::rate::Bucket::take_unsaved

use std::{collections::VecDeque, time::Duration};

use board::Time;

/// The span in which the platform counts requests.
const SPAN: Duration = Duration::from_millis(1000);
/// How long a request may take from the last check until it reaches its endpoint.
/// Requests that are sent further apart may arrive closer together by this time.
const DELIVERY_MAX: Duration = Duration::from_millis(100);
/// How long a permit may be used. Without an end, a VM that was frozen would use
/// several at once. A connection opens in a few milliseconds.
const PERMIT_TTL: Duration = Duration::from_millis(200);
/// The longest time for which an endpoint may state that it stays cold. It states it
/// again before, if it is true.
const STATED_MAX: Duration = Duration::from_secs(3600);

/// What a service states about its cold endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// How long an endpoint is cold after a start.
    pub cold_time: Duration,
    /// The requests per second that a cold endpoint bears; 0 if there is no limit.
    pub per_s: f64,
}

/// How far requests to a cold endpoint may exceed the rate of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The factor of the rate.
    pub excess: f64,
    /// The requests that are allowed beyond it.
    pub slack: f64,
}

impl Default for Bounds {
    /// Returns the bounds of a platform that states none: the rate itself.
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

impl Bounds {
    /// Returns how many requests a cold endpoint may get in one second from all VMs
    /// together.
    ///
    /// # Examples
    ///
    /// ```
    /// use tarragonseam_policy::cold::Bounds;
    ///
    /// let bounds = Bounds { excess: 1.5, slack: 5.0 };
    /// assert_eq!(bounds.requests_max(14.0), 26);
    /// ```
    pub fn requests_max(self, per_s: f64) -> usize {
        (per_s * self.excess + self.slack) as usize
    }
}

/// Returns how many requests arrive in one second at most that were sent with a
/// permit of one of `coordinators` coordinators, which grant `per_s` together. Those
/// granted during the lifetime of a permit and the delivery of a request may
/// arrive with them, and each coordinator may have one permit at the start.
///
/// # Examples
///
/// ```
/// use tarragonseam_policy::cold;
///
/// assert_eq!(cold::granted_max(14.0, 3), 21);
/// ```
pub fn granted_max(per_s: f64, coordinators: usize) -> usize {
    let span = (SPAN + PERMIT_TTL + DELIVERY_MAX).as_secs_f64();
    ((per_s * span) as usize).saturating_add(coordinators.max(1))
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The endpoint is taken for cold, and there is no valid permit.
    NoPermit,
    /// This VM has sent too much within the last second.
    OwnBound,
}

/// What one VM knows of one endpoint, and what it has sent there.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use board::Time;
/// use tarragonseam_policy::cold::{Bounds, Endpoint, Refusal, Terms};
///
/// let terms = Terms { cold_time: Duration::from_secs(3), per_s: 14.0 };
/// let bounds = Bounds { excess: 1.5, slack: 5.0 };
/// let mut endpoint = Endpoint::default();
/// let start = Time::from_millis(1);
/// assert_eq!(endpoint.send(terms, bounds, start), Ok(()));
/// endpoint.record_start(start);
/// assert_eq!(endpoint.send(terms, bounds, start), Err(Refusal::NoPermit));
/// endpoint.grant(start);
/// assert_eq!(endpoint.send(terms, bounds, start), Ok(()));
/// assert!(!endpoint.is_cold(terms, start + Duration::from_secs(3)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    started_at: Option<Time>,
    /// Until when it has stated that it is cold.
    stated_until: Option<Time>,
    /// When requests were sent.
    sent: VecDeque<Time>,
    /// When the permits were granted that have not been used.
    permits: VecDeque<Time>,
}

impl Endpoint {
    /// Records that the endpoint appeared, restarted, or got requests again after
    /// its failure domain had been evacuated.
    pub fn record_start(&mut self, now: Time) {
        self.started_at = Some(now);
    }

    /// Records that the endpoint states that it stays cold for `left`.
    pub fn record_stated(&mut self, left: Duration, now: Time) {
        self.stated_until = Some(now + left.min(STATED_MAX));
    }

    /// Returns whether the endpoint is taken for cold.
    pub fn is_cold(&self, terms: Terms, now: Time) -> bool {
        let is_stated = self.stated_until.is_some_and(|until| until > now);
        let has_started = self.started_at.is_some_and(|at| now - at < terms.cold_time);
        terms.per_s > 0.0 && (is_stated || has_started)
    }

    /// Records that a permit to send one request was granted.
    pub fn grant(&mut self, now: Time) {
        self.remove_expired(now);
        self.permits.push_back(now);
    }

    /// Records that a request is sent now.
    ///
    /// # Errors
    ///
    /// The reason if it must not be sent.
    pub fn send(&mut self, terms: Terms, bounds: Bounds, now: Time) -> Result<(), Refusal> {
        if terms.per_s <= 0.0 {
            return Ok(());
        }
        self.remove_expired(now);
        let own = bounds.requests_max(terms.per_s);
        let limit = if self.is_cold(terms, now) {
            if self.permits.is_empty() {
                return Err(Refusal::NoPermit);
            }
            // What was sent before the VM knew counts too.
            let span = (SPAN + DELIVERY_MAX).as_secs_f64();
            own.min(((terms.per_s * span) as usize).saturating_add(1))
        } else {
            // A bound below one request would keep a warm endpoint unused.
            own.max(1)
        };
        if self.sent.len() >= limit {
            return Err(Refusal::OwnBound);
        }
        self.permits.pop_front();
        self.sent.push_back(now);
        Ok(())
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some(at) = self.sent.front()
            && now - *at >= SPAN + DELIVERY_MAX
        {
            self.sent.pop_front();
        }
        while let Some(at) = self.permits.front()
            && now - *at >= PERMIT_TTL
        {
            self.permits.pop_front();
        }
    }
}
