//! The life of one item of a job, from its acceptance to its sample.
//!
//! An item waits until an endpoint can take it, runs there, and waits again if the run
//! ended early. The events so far are its text. Only some endpoints may continue a
//! text: those with the software that began it, and with the weights that began it
//! where a sample must come from one version of them. Endpoints load new weights and
//! software all the time, so what could be continued when a run began may be
//! impossible when it ends. Then the item begins again.
//!
//! A run that ends early and brought no event is a setback. Setbacks in a row back
//! off. After some of them the text is dropped too, whatever is known of the endpoints:
//! their records may be older than what they answer.

use std::time::Duration;

use board::Time;

/// The pause before an item runs again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest pause before an item runs again. The platform counts an item as lost
/// that is at no endpoint for 5 s.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// How long an item waits for an endpoint that can continue its text. After that,
/// another endpoint begins the text again.
const CONTINUE_WAIT_MAX: Duration = Duration::from_millis(1000);
/// The number of setbacks in a row after which a text counts as one that cannot be
/// continued, if [`CONTINUE_WAIT_MAX`] has passed too.
const SETBACKS_MAX: u32 = 3;
/// The maximum number of times that an item is moved to a faster endpoint. Each
/// move costs a connection, and the new endpoint processes the text so far
/// again.
const MOVES_MAX: u32 = 2;

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// The text is complete.
    Complete,
    /// The endpoint ended it early, or answered what cannot be added to the text.
    Interrupted,
    /// No connection to the endpoint could be opened.
    Unreached,
    /// The endpoint did not take the item for now, or could not be asked to.
    Rejected,
    /// This VM ended it, since another endpoint is much faster.
    Moved,
    /// The endpoint reported that it failed.
    Failed,
    /// No endpoint can run the item.
    Unprocessable,
}

/// What a run left of the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Text {
    /// It has no events.
    Empty,
    /// It has the events that it had before the run.
    Unchanged,
    /// It has more events.
    Grown,
}

/// What is to be done with an item after a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It waits, and keeps its text.
    Wait,
    /// Its text is dropped, and it waits.
    BeginAgain,
    /// Its text gets a score.
    Score,
    /// It is abandoned.
    Abandon,
}

/// Where an item is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It runs from this time on, as soon as an endpoint can take it.
    Waiting(Time),
    /// It runs at an endpoint.
    Running,
    /// It runs no more.
    Ended,
}

/// The life of one item.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use board::Time;
/// use tarragonseam_policy::item::{Life, Run, Step, Text};
///
/// let now = Time::from_millis(1000);
/// let mut life = Life::new(now);
/// assert!(life.is_due(now));
/// life.start();
/// assert_eq!(life.end(now, Run::Interrupted, Text::Grown, 3), Step::Wait);
/// assert!(!life.is_due(now));
/// // No endpoint has the software that began its text.
/// let later = now + Duration::from_millis(100);
/// assert!(life.drops_text(later, false));
/// ```
#[derive(Clone, Debug)]
pub struct Life {
    phase: Phase,
    /// How many runs failed.
    failures: u32,
    /// How many times the item was moved.
    moves: u32,
    /// How many runs in a row were setbacks.
    setbacks: u32,
    /// Since when the item has got no event, and no endpoint that could run it has
    /// rejected it.
    stalled_since: Time,
}

impl Life {
    /// Returns the life of an item that may run from `now` on.
    pub fn new(now: Time) -> Self {
        Self {
            phase: Phase::Waiting(now),
            failures: 0,
            moves: 0,
            setbacks: 0,
            stalled_since: now,
        }
    }

    /// Returns where the item is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns how many runs failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the item may run now.
    pub fn is_due(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Waiting(not_before) if not_before <= now)
    }

    /// Returns whether the item stays at its next endpoint, however slow it is.
    pub fn is_pinned(&self) -> bool {
        self.moves >= MOVES_MAX
    }

    /// Records that a run begins.
    pub fn start(&mut self) {
        self.phase = Phase::Running;
    }

    /// Records that the run ended at `now` and left `text`, and returns what follows.
    /// After `failures_max` failures the item is abandoned.
    pub fn end(&mut self, now: Time, run: Run, text: Text, failures_max: u32) -> Step {
        if text == Text::Grown {
            self.reset(now);
        }
        self.failures += u32::from(run == Run::Failed);
        self.moves += u32::from(run == Run::Moved);
        let (step, pause) = match run {
            Run::Complete => (Step::Score, None),
            Run::Unprocessable => (Step::Abandon, None),
            Run::Failed if self.failures >= failures_max => (Step::Abandon, None),
            Run::Failed => (Step::Wait, Some(RETRY_DELAY)),
            Run::Moved => (Step::Wait, Some(Duration::ZERO)),
            // An endpoint that rejects an item backs off by itself.
            Run::Rejected => {
                self.stalled_since = now;
                (Step::Wait, Some(RETRY_DELAY))
            }
            // That an endpoint is not reached says nothing about the text.
            Run::Interrupted if text == Text::Unchanged && self.is_hopeless(now) => {
                self.reset(now);
                (Step::BeginAgain, Some(RETRY_DELAY))
            }
            Run::Interrupted | Run::Unreached => (Step::Wait, Some(self.back_off(text))),
        };
        self.phase = pause.map_or(Phase::Ended, |pause| Phase::Waiting(now + pause));
        step
    }

    /// Returns whether the text of a waiting item is dropped, for which no endpoint is
    /// free now. `can_continue` tells whether some endpoint could continue it later.
    pub fn drops_text(&mut self, now: Time, can_continue: bool) -> bool {
        if can_continue && !self.is_stalled(now) {
            return false;
        }
        self.reset(now);
        true
    }

    /// Returns the pause after a run that ended early and left `text`.
    fn back_off(&mut self, text: Text) -> Duration {
        let pause = RETRY_DELAY.saturating_mul(2_u32.saturating_pow(self.setbacks));
        self.setbacks += u32::from(text != Text::Grown);
        pause.min(RETRY_DELAY_MAX)
    }

    /// Returns whether one more setback means that the text cannot be continued.
    fn is_hopeless(&self, now: Time) -> bool {
        self.setbacks + 1 >= SETBACKS_MAX && self.is_stalled(now)
    }

    fn is_stalled(&self, now: Time) -> bool {
        now - self.stalled_since >= CONTINUE_WAIT_MAX
    }

    fn reset(&mut self, now: Time) {
        self.setbacks = 0;
        self.stalled_since = now;
    }
}
