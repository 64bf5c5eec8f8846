//! The memory that a process may use for its callers: the heads and bodies of
//! requests, and the answers of endpoints that wait to be written.

use std::{
    future::poll_fn,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::Duration,
};

use policy::room::{self, Body};
use slotmap::{DefaultKey, SlotMap};

use super::guard::READ_BYTES_MAX;

/// How often a task that waits for memory checks whether there is some.
const RELEASE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// A budget of memory that servers and pools share. Clones share the state.
///
/// The state is behind a lock, since the bytes of a body may be released on any
/// thread.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    requests_max: usize,
    total_max: usize,
    request_bytes: usize,
    answer_bytes: usize,
    unfinished: SlotMap<DefaultKey, Unfinished>,
    evictions: u64,
    /// The tasks that wait for memory.
    waiters: Vec<Waker>,
}

/// A request body that is being read.
#[derive(Debug)]
struct Unfinished {
    body: Body,
    is_evicted: bool,
    waker: Option<Waker>,
}

impl Default for Memory {
    /// Returns a budget without limits.
    fn default() -> Self {
        Self::new(usize::MAX, usize::MAX)
    }
}

impl Memory {
    /// Returns a budget of `total_max` bytes, of which requests may use
    /// `requests_max`. The rest is for answers, so that requests in progress
    /// cannot keep each other from being answered.
    pub fn new(requests_max: usize, total_max: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            requests_max,
            total_max,
            request_bytes: 0,
            answer_bytes: 0,
            unfinished: SlotMap::new(),
            evictions: 0,
            waiters: Vec::new(),
        })))
    }

    /// Returns how many bytes are in use.
    pub fn used_bytes(&self) -> usize {
        let state = self.lock();
        state.request_bytes + state.answer_bytes
    }

    /// Returns how many bodies were given up in favour of others.
    pub fn evictions(&self) -> u64 {
        self.lock().evictions
    }

    /// Limits requests to `bytes` if no limit was set.
    pub(crate) fn limit_requests(&self, bytes: usize) {
        let mut state = self.lock();
        if state.requests_max == usize::MAX {
            state.requests_max = bytes;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No code panics while it holds the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until memory is released, for at most [`RELEASE_POLL_PERIOD`].
    pub(crate) async fn wait_for_release(&self) {
        let mut is_registered = false;
        let released = poll_fn(|cx| {
            if is_registered {
                return Poll::Ready(());
            }
            is_registered = true;
            self.lock().waiters.push(cx.waker().clone());
            Poll::Pending
        });
        // Another thread may release memory before the waker is registered, so
        // the caller checks again in any case.
        let _ = monoio::time::timeout(RELEASE_POLL_PERIOD, released).await;
    }

    /// Returns an empty charge for a request's body, which is unfinished until
    /// [`Charge::finish`].
    pub(crate) fn charge_request(&self, address: IpAddr, account: u64) -> Charge {
        let body = Body {
            address,
            account,
            bytes: 0,
        };
        let key = self.lock().unfinished.insert(Unfinished {
            body,
            is_evicted: false,
            waker: None,
        });
        Charge {
            memory: self.clone(),
            side: Side::Request,
            unfinished: Some(key),
            bytes: 0,
        }
    }

    /// Returns an empty charge for the head of a request.
    pub(crate) fn charge_head(&self) -> Charge {
        Charge {
            memory: self.clone(),
            side: Side::Head,
            unfinished: None,
            bytes: 0,
        }
    }

    /// Returns an empty charge for an answer.
    pub(crate) fn charge_answer(&self) -> Charge {
        Charge {
            memory: self.clone(),
            side: Side::Answer,
            unfinished: None,
            bytes: 0,
        }
    }
}

impl State {
    fn has_room(&self, side: Side, bytes: usize) -> bool {
        let total = self.request_bytes.saturating_add(self.answer_bytes);
        let fits_total = total.saturating_add(bytes) <= self.total_max;
        let requests = self.request_bytes.saturating_add(bytes);
        fits_total && (side != Side::Request || requests <= self.requests_max)
    }

    fn used_mut(&mut self, side: Side) -> &mut usize {
        match side {
            Side::Request | Side::Head => &mut self.request_bytes,
            Side::Answer => &mut self.answer_bytes,
        }
    }

    /// Takes memory from unfinished bodies until `bytes` more fit for the body
    /// `key`, or no body has to give way to it. Returns the tasks to wake.
    fn evict_for(&mut self, key: DefaultKey, bytes: usize) -> Vec<Waker> {
        let mut wakers = Vec::new();
        let Some(asking) = self.unfinished.get(key) else {
            return wakers;
        };
        let newcomer = Body {
            bytes,
            ..asking.body
        };
        while !self.has_room(Side::Request, bytes) {
            let keys: Vec<DefaultKey> = self.unfinished.keys().collect();
            let bodies: Vec<Body> = self.unfinished.values().map(|held| held.body).collect();
            let Some(index) = room::choose_victim(&bodies, &newcomer) else {
                break;
            };
            let victim = &mut self.unfinished[keys[index]];
            victim.is_evicted = true;
            wakers.extend(victim.waker.take());
            // Its task drops the body as soon as it runs.
            let released = std::mem::take(&mut victim.body.bytes);
            self.request_bytes -= released;
            self.evictions += 1;
        }
        wakers
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Request,
    /// As a request, but from the whole budget.
    Head,
    Answer,
}

/// Memory in use, released on drop.
#[derive(Debug)]
pub(crate) struct Charge {
    memory: Memory,
    side: Side,
    unfinished: Option<DefaultKey>,
    bytes: usize,
}

impl Charge {
    /// Increases the charge to `bytes` if there is room, and returns whether the
    /// charge is at least as high.
    pub(crate) fn try_grow_to(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes) else {
            return true;
        };
        let mut state = self.memory.lock();
        let mut wakers = Vec::new();
        if let Some(key) = self.unfinished {
            if state.unfinished[key].is_evicted {
                return false;
            }
            if !state.has_room(self.side, more) {
                wakers = state.evict_for(key, more);
            }
        }
        let has_room = state.has_room(self.side, more);
        if has_room {
            self.add(&mut state, more);
        }
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
        if has_room {
            self.bytes = bytes;
        }
        has_room
    }

    /// Increases the charge to `bytes`, whether or not there is room.
    pub(crate) fn force_grow_to(&mut self, bytes: usize) {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            self.add(&mut self.memory.lock(), more);
            self.bytes = bytes;
        }
    }

    fn add(&self, state: &mut State, more: usize) {
        *state.used_mut(self.side) += more;
        if let Some(key) = self.unfinished {
            state.unfinished[key].body.bytes += more;
        }
    }

    /// Records that the body is complete, so that it is not given up any more.
    /// Returns whether it has not been given up before.
    pub(crate) fn finish(&mut self) -> bool {
        let Some(key) = self.unfinished.take() else {
            return true;
        };
        let unfinished = self.memory.lock().unfinished.remove(key);
        let is_evicted = unfinished.is_some_and(|unfinished| unfinished.is_evicted);
        if is_evicted {
            self.bytes = 0;
        }
        !is_evicted
    }

    /// Returns a handle that waits until the body has to be given up.
    pub(crate) fn eviction(&self) -> Eviction {
        Eviction {
            memory: self.memory.clone(),
            key: self.unfinished,
        }
    }

    /// Releases the memory.
    pub(crate) fn clear(&mut self) {
        self.finish();
        let mut state = self.memory.lock();
        *state.used_mut(self.side) -= std::mem::take(&mut self.bytes);
        let waiters = std::mem::take(&mut state.waiters);
        drop(state);
        waiters.into_iter().for_each(Waker::wake);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Waits until a body has to be given up.
pub(crate) struct Eviction {
    memory: Memory,
    key: Option<DefaultKey>,
}

impl Eviction {
    /// Returns ready once the body has to be given up.
    pub(crate) fn poll(&self, cx: &Context<'_>) -> Poll<()> {
        let Some(key) = self.key else {
            return Poll::Pending;
        };
        let mut state = self.memory.lock();
        match state.unfinished.get_mut(key) {
            Some(unfinished) if unfinished.is_evicted => Poll::Ready(()),
            Some(unfinished) => {
                unfinished.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            None => Poll::Pending,
        }
    }
}

/// What an event that is not complete may hold without a charge. Those of endpoints that
/// work have some hundred bytes.
const EVENT_FREE_BYTES: usize = 4 * 1024;
/// The same for a head. The read that completes it may bring a part of the body too,
/// which must not be refused.
const HEAD_FREE_BYTES: usize = 4 * 1024 + READ_BYTES_MAX;

/// The memory that a part of an answer holds until it is complete: its head, or an
/// event. A peer may send bytes without end that never complete it, to many requests at
/// once, so all of these parts share a budget.
#[derive(Debug)]
pub struct Holding {
    charge: Charge,
    free_bytes: usize,
}

impl Holding {
    /// Returns what the head of an answer holds, nothing at first.
    pub(crate) fn of_head(memory: &Memory) -> Self {
        Self {
            charge: memory.charge_answer(),
            free_bytes: HEAD_FREE_BYTES,
        }
    }

    /// Returns what an event holds, nothing at first.
    pub(crate) fn of_event(memory: &Memory) -> Self {
        Self {
            charge: memory.charge_answer(),
            free_bytes: EVENT_FREE_BYTES,
        }
    }

    /// Changes what is held to `bytes`. Returns false if the budget has no room for it.
    /// Some KiB always fit.
    pub fn try_hold(&mut self, bytes: usize) -> bool {
        let charged = bytes.saturating_sub(self.free_bytes);
        if charged < self.charge.bytes {
            self.charge.clear();
        }
        charged == 0 || self.charge.try_grow_to(charged)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn address(last: u8) -> IpAddr {
        [10, 0, 0, last].into()
    }

    #[test]
    fn grow_within_limits_of_requests_and_total() {
        let memory = Memory::new(60, 100);
        let mut request = memory.charge_request(address(1), 1);
        assert!(request.try_grow_to(60));
        assert!(!request.try_grow_to(61));
        let mut answer = memory.charge_answer();
        assert!(answer.try_grow_to(40));
        assert!(!answer.try_grow_to(41));
        drop(request);
        assert!(answer.try_grow_to(100));
        drop(answer);
        assert_eq!(memory.used_bytes(), 0);
    }

    /// Guards against a body that is released twice, by eviction and on drop.
    #[test]
    fn evict_larger_body_of_other_account() {
        let memory = Memory::new(100, 100);
        let mut large = memory.charge_request(address(1), 1);
        assert!(large.try_grow_to(90));
        let mut small = memory.charge_request(address(1), 2);
        assert!(small.try_grow_to(20));
        assert!(!large.try_grow_to(95) && !large.finish());
        drop(large);
        assert_eq!(memory.used_bytes(), 20);
        assert_eq!(memory.evictions(), 1);
    }

    /// Guards against the loss of a body that was read completely.
    #[test]
    fn keep_finished_body() {
        let memory = Memory::new(100, 100);
        let mut large = memory.charge_request(address(1), 1);
        assert!(large.try_grow_to(90) && large.finish());
        assert!(!memory.charge_request(address(2), 2).try_grow_to(20));
    }

    /// Guards against ordinary heads and events that are refused while others hold the
    /// whole budget, and against memory that is not released.
    #[test]
    fn hold_within_budget() {
        let (event, head) = (EVENT_FREE_BYTES, HEAD_FREE_BYTES);
        let memory = Memory::new(0, 1000);
        let (mut large, mut other) = (Holding::of_head(&memory), Holding::of_event(&memory));
        assert!(large.try_hold(head + 900));
        assert!(other.try_hold(event) && other.try_hold(event + 100));
        assert!(!other.try_hold(event + 101));
        assert!(large.try_hold(head + 1));
        assert!(other.try_hold(event + 999));
        assert!(large.try_hold(head) && Holding::of_head(&memory).try_hold(head));
        drop((large, other));
        assert_eq!(memory.used_bytes(), 0);
    }

    /// Guards against one address that takes all by means of many keys.
    #[test]
    fn share_by_address_before_account() {
        let memory = Memory::new(100, 100);
        let mut many: Vec<Charge> = (0..10)
            .map(|account| memory.charge_request(address(1), account))
            .collect();
        assert!(many.iter_mut().all(|charge| charge.try_grow_to(10)));
        let mut other = memory.charge_request(address(2), 1);
        assert!(other.try_grow_to(40));
        assert!(!other.try_grow_to(90));
    }
}
