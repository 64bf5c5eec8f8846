//! Usage ledgers and the totals of a reporting window.

use board::usage::{ClosedWindow, Figures, FrozenWindow, Ledger, Origin, Record, Window};
use proptest::prelude::*;
use tarragonseam_policy::usage::{self, copy_holders};

const WINDOW: Window = Window(7);

fn origin(vm: &str) -> Origin {
    Origin {
        vm: vm.into(),
        incarnation: 1,
    }
}

fn one_request(tokens: u64) -> Figures {
    Figures {
        requests: 1,
        tokens_in: 0,
        tokens_out: tokens,
        abandoned: 0,
    }
}

fn requests(frozen: &FrozenWindow) -> u64 {
    frozen
        .figures
        .iter()
        .map(|account_figures| account_figures.figures.requests)
        .sum()
}

/// Returns the ledgers of three processes, each with `count` records of which
/// the next process holds copies.
fn ledgers(count: usize) -> Vec<(Origin, Ledger)> {
    let names = ["vm-a", "vm-b", "vm-c"];
    let mut ledgers: Vec<_> = names.map(|name| (origin(name), Ledger::default())).into();
    for index in 0..names.len() {
        let records: Vec<Record> = (0..count)
            .map(|n| {
                ledgers[index]
                    .1
                    .add(&format!("{index}-{n}"), "a", WINDOW, one_request(1))
            })
            .collect();
        let from = ledgers[index].0.clone();
        let next = (index + 1) % names.len();
        // A repeated message must not store records twice.
        ledgers[next].1.add_copies(&from, records.clone());
        ledgers[next].1.add_copies(&from, records);
    }
    ledgers
}

/// Returns the totals of [`WINDOW`] if all processes but `lost` answer.
fn freeze(ledgers: &mut [(Origin, Ledger)], lost: usize) -> FrozenWindow {
    let mut answers: Vec<ClosedWindow> = Vec::new();
    for (index, (origin, ledger)) in ledgers.iter_mut().enumerate() {
        if index != lost {
            ledger.close(WINDOW);
            answers.push(ledger.summarize(origin, WINDOW));
        }
    }
    let mut copies = Vec::new();
    for missing in usage::missing_origins(&answers) {
        for (origin, ledger) in ledgers.iter() {
            if answers.iter().any(|answer| answer.origin == *origin) {
                copies.push((missing.clone(), ledger.copies(&missing, WINDOW)));
            }
        }
    }
    usage::total(WINDOW, 1, &answers, &copies, None)
}

proptest! {
    #[test]
    fn total_counts_each_request_once(count in 0_usize..20, lost in 0_usize..4) {
        let mut ledgers = ledgers(count);
        let frozen = freeze(&mut ledgers, lost);
        prop_assert_eq!(requests(&frozen), 3 * count as u64);
    }

    #[test]
    fn resolve_counts_each_request_once(
        copied in 0_usize..10,
        uncopied in 0_usize..10,
        lost in 0_usize..3,
    ) {
        let mut ledgers = ledgers(copied);
        for n in 0..uncopied {
            ledgers[lost].1.add(&format!("uncopied-{n}"), "a", WINDOW, one_request(1));
        }
        let frozen = freeze(&mut ledgers, lost);
        prop_assert_eq!(requests(&frozen), 3 * copied as u64);
        // The process was only unreachable and is back.
        let (origin, ledger) = &mut ledgers[lost];
        ledger.close(WINDOW);
        let moved = ledger.resolve(WINDOW, |id| usage::is_counted(&frozen, origin, id));
        prop_assert_eq!(moved.len(), uncopied);
        prop_assert!(moved.iter().all(|record| record.late && record.window > WINDOW));
        prop_assert!(ledger.resolve(WINDOW, |_| true).is_empty());
        let next = ledger.totals(WINDOW.next());
        prop_assert_eq!(next.get("a").map_or(0, |f| f.requests), uncopied as u64);
    }
}

/// Returns the record of the same request in `window`.
fn record(window: Window) -> Record {
    Record {
        id: "r1".into(),
        account: "a".into(),
        window,
        late: false,
        figures: one_request(3),
    }
}

#[test]
fn add_copies_moved_record() {
    let mut ledger = Ledger::default();
    let from = origin("vm-a");
    ledger.add_copies(&from, vec![record(WINDOW)]);
    ledger.add_copies(&from, vec![record(WINDOW.next())]);
    assert!(ledger.copies(&from, WINDOW).is_empty());
    assert_eq!(ledger.copies(&from, WINDOW.next()).len(), 1);
    assert_eq!(ledger.all_copies(&from).len(), 1);
    let closed = ledger.summarize(&origin("vm-b"), WINDOW);
    assert!(closed.copies.is_empty());
    assert_eq!(closed.oldest, Some(WINDOW.next()));
    ledger.discard_copies(WINDOW);
    assert_eq!(ledger.copies_len(), 1);
    ledger.discard_copies(WINDOW.next());
    assert_eq!(ledger.copies_len(), 0);
    assert_eq!(ledger.copied_origins().count(), 0);
}

#[test]
fn inherit_copies_of_moved_record() {
    let mut ledger = Ledger::default();
    let from = origin("vm-a");
    ledger.add_copies(&from, vec![record(WINDOW.next())]);
    // Another holder was cut off when the record moved, and hands it over now.
    ledger.inherit_copies(&from, vec![record(WINDOW)]);
    ledger.close(WINDOW);
    ledger.discard_copies(WINDOW);
    assert_eq!(ledger.copies(&from, WINDOW.next()).len(), 1);
}

#[test]
fn add_copies_of_moved_record_late() {
    let mut ledger = Ledger::default();
    let from = origin("vm-a");
    ledger.add_copies(&from, vec![record(WINDOW.next())]);
    ledger.add_copies(&from, vec![record(WINDOW)]);
    assert_eq!(ledger.all_copies(&from), [record(WINDOW.next())]);
}

proptest! {
    /// Each row is a record: its account, its window, and whether it was sent
    /// to another process.
    #[test]
    fn merge_counts_each_request_once(
        rows in prop::collection::vec((0_u64..3, 6_u64..9, any::<bool>()), 0..40),
        late in any::<bool>(),
    ) {
        let mut plain = Ledger::default();
        if late {
            plain.close(Window(7));
        }
        let mut unsent = Vec::new();
        for (n, (account, window, was_sent)) in rows.iter().enumerate() {
            let account = format!("account-{account}");
            let record = plain.add(&format!("r{n}"), &account, Window(*window), one_request(n as u64));
            if !was_sent {
                unsent.push(record);
            }
        }
        let mut merged = plain.clone();
        let sums = merged.merge(unsent.clone());
        // Records that are already merged stay unchanged.
        prop_assert_eq!(&merged.merge(sums.clone()), &sums);
        prop_assert!(merged.merge(Vec::new()).is_empty());
        let groups: std::collections::BTreeSet<_> = unsent
            .iter()
            .map(|r| (r.window, r.late, r.account.clone()))
            .collect();
        prop_assert_eq!(sums.len(), groups.len());
        prop_assert_eq!(merged.uncounted_len(), rows.len() - unsent.len() + sums.len());
        let here = origin("vm-a");
        for window in (6..10).map(Window) {
            prop_assert_eq!(merged.summarize(&here, window), plain.summarize(&here, window));
        }
        // The windows are frozen without this process: the records that were
        // sent are counted, the others move to a later window.
        let is_sent = |id: &str| id[1..].parse::<usize>().is_ok_and(|n| rows[n].2);
        for ledger in [&mut plain, &mut merged] {
            ledger.close(Window(9));
            for window in (6..10).map(Window) {
                ledger.resolve(window, is_sent);
            }
        }
        prop_assert_eq!(merged.summarize(&here, Window(10)), plain.summarize(&here, Window(10)));
    }
}

#[test]
fn total_stale_copy_not_recounted() {
    let lost = origin("vm-a");
    let first = usage::total(
        WINDOW,
        1,
        &[],
        &[(lost.clone(), vec![record(WINDOW)])],
        None,
    );
    assert_eq!(requests(&first), 1);
    let moved = [(lost, vec![record(WINDOW.next())])];
    let second = usage::total(WINDOW.next(), 1, &[], &moved, Some(&first));
    assert_eq!(requests(&second), 0);
}

#[test]
fn total_copies_of_process_that_answered_before() {
    let lost = origin("vm-a");
    let answered = ClosedWindow {
        origin: lost.clone(),
        totals: Default::default(),
        late: 0,
        copies: Vec::new(),
        oldest: None,
    };
    let first = usage::total(WINDOW, 1, &[answered], &[], None);
    let record = Record {
        id: "r1".into(),
        account: "a".into(),
        window: WINDOW.next(),
        late: false,
        figures: one_request(3),
    };
    let copies = [(lost, vec![record])];
    let second = usage::total(WINDOW.next(), 1, &[], &copies, Some(&first));
    assert_eq!(requests(&second), 1);
}

#[test]
fn merge_leaves_records_that_may_be_copied() {
    let mut ledger = Ledger::default();
    let ids = ["never", "in-progress", "stored"];
    let records = ids.map(|id| ledger.add(id, "a", WINDOW, one_request(3)));
    ledger.begin_copies(&records[1..]);
    ledger.end_copy(&records[2], true);
    let sums = ledger.merge(records.to_vec());
    assert_eq!(sums, records[..1]);
    assert_eq!(ledger.uncounted_len(), 3);
}

#[test]
fn resolve_unknown_of_requested_window() {
    let mut ledger = Ledger::default();
    let record = ledger.add("r1", "a", WINDOW, one_request(3));
    ledger.close(WINDOW);
    // The sums take the place of the records, in the same window.
    ledger.merge(vec![record.clone()]);
    let unresolved = ledger.resolve_unknown(WINDOW);
    assert_eq!(unresolved.undecided, [record]);
    assert!(unresolved.moved.is_empty());
    assert_eq!(ledger.uncounted_len(), 0);
}

#[test]
fn resolve_unknown_of_window_not_requested() {
    let mut ledger = Ledger::default();
    let ids = ["never", "failed", "lost", "held", "failed-after-lost"];
    let records = ids.map(|id| ledger.add(id, "a", WINDOW, one_request(3)));
    let [_, failed, lost, held, failed_after_lost] = &records;
    let attempts = [
        (failed, false),
        (lost, true),
        (held, true),
        (failed_after_lost, true),
        (failed_after_lost, false),
    ];
    for (record, may_be_stored) in attempts {
        ledger.begin_copies([record]);
        ledger.end_copy(record, may_be_stored);
    }
    ledger.close(WINDOW.next());
    let unresolved = ledger.resolve_unknown(WINDOW);
    let names = |records: &[Record]| {
        let mut names: Vec<_> = records.iter().map(|record| record.id.clone()).collect();
        names.sort();
        names
    };
    assert_eq!(names(&unresolved.moved), ["failed", "never"]);
    assert_eq!(
        names(&unresolved.undecided),
        ["failed-after-lost", "held", "lost"]
    );
    assert!(unresolved.moved.iter().all(|record| record.late));
    let later = ledger.totals(Window(WINDOW.0 + 2));
    assert_eq!(later["a"].requests, 2);
}

#[test]
fn resolve_unknown_while_copy_is_in_progress() {
    let mut ledger = Ledger::default();
    let record = ledger.add("r1", "a", WINDOW, one_request(3));
    ledger.begin_copies([&record]);
    ledger.close(WINDOW.next());
    let unresolved = ledger.resolve_unknown(WINDOW);
    assert!(unresolved.moved.is_empty() && unresolved.undecided.is_empty());
    ledger.end_copy(&record, false);
    assert_eq!(ledger.resolve_unknown(WINDOW).moved.len(), 1);
}

#[test]
fn resolve_unknown_forgets_attempts_for_earlier_window() {
    let mut ledger = Ledger::default();
    let record = ledger.add("r1", "a", WINDOW, one_request(3));
    ledger.begin_copies([&record]);
    ledger.end_copy(&record, true);
    ledger.close(WINDOW);
    // The frozen figures of the window omit the record.
    let moved = ledger.resolve(WINDOW, |_| false);
    ledger.end_copy(&record, true);
    ledger.close(Window(WINDOW.0 + 2));
    let unresolved = ledger.resolve_unknown(moved[0].window);
    assert_eq!(unresolved.moved.len(), 1);
}

#[test]
fn add_repeated_request() {
    let mut ledger = Ledger::default();
    ledger.add("r1", "a", WINDOW, one_request(3));
    ledger.close(WINDOW);
    ledger.add("r1", "a", WINDOW.next(), one_request(3));
    assert_eq!(ledger.totals(WINDOW)["a"], one_request(3));
    assert!(ledger.totals(WINDOW.next()).is_empty());
}

#[test]
fn add_copies_closed_window() {
    let (from, mut holder) = (origin("vm-a"), Ledger::default());
    let mut ledger = Ledger::default();
    let record = ledger.add("r1", "a", WINDOW, one_request(3));
    holder.close(WINDOW);
    holder.add_copies(&from, vec![record]);
    assert!(holder.copies(&from, WINDOW).is_empty());
    let moved = ledger.postpone("r1", WINDOW, holder.closed()).unwrap();
    assert_eq!((moved.window, moved.late), (WINDOW.next(), true));
    ledger.close(WINDOW.next());
    assert!(
        ledger
            .postpone("r1", WINDOW.next(), WINDOW.next())
            .is_none()
    );
}

#[test]
fn copy_holders_other_failure_domains_first() {
    let vms = [
        ("vm-a1", "a"),
        ("vm-a2", "a"),
        ("vm-b1", "b"),
        ("vm-c1", "c"),
    ];
    let order = copy_holders("vm-a1", "a", &vms);
    assert_eq!(order.len(), 3);
    assert_eq!(order[2], 1, "the VM's own failure domain must come last");
}
