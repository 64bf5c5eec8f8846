//! Tests of the choice among endpoints of different speed that share their
//! machines with other work, and may still hold a prompt. They play the load
//! without a network and check what callers get.

mod common;

use std::time::{Duration, Instant};

use common::machines::{
    MODEL, Machine, Request, SLOTS, World, changing, changing_alike, random, requests, requests_of,
};
use link::{HeaderMap, HeaderValue};
use platform::header;
use policy::prompt::{self, Part};
use tarragonseam_site::{
    facts::Facts,
    placement::{self, Criteria, Work},
};

/// Returns six machines, the first three of which are faster.
fn machines(factor: fn(usize, Duration) -> f64, crowding: f64) -> Vec<Machine> {
    let machine = |number: usize| Machine {
        factor,
        crowding,
        seed: number,
        ..Machine::new(if number < 3 { 1.2 } else { 0.7 })
    };
    (0..6).map(machine).collect()
}

fn steady(_: usize, _: Duration) -> f64 {
    1.0
}

/// Returns how often the busiest machine of each half was chosen, in relation to
/// the mean of its half.
fn imbalance(served: &[u32]) -> f64 {
    let ratio = |class: &[u32]| {
        let mean = f64::from(class.iter().sum::<u32>()) / class.len() as f64;
        f64::from(class.iter().copied().max().unwrap_or_default()) / mean
    };
    let (fast, slow) = served.split_at(served.len() / 2);
    ratio(fast).max(ratio(slow))
}

fn state(facts: &mut Facts, id: &str, load: &str, now: Instant) {
    let key = facts.key(id).unwrap();
    let value = HeaderValue::from_str(load).unwrap();
    facts.record_headers(key, &HeaderMap::from_iter([(header::LOAD, value)]), now);
}

/// Requests went to the least loaded endpoint, whatever its machine did at the
/// moment, and a slow one took two to five times as long.
#[test]
fn requests_avoid_slow_services() {
    let mut world = World::new(machines(changing, 1.0), 2, false);
    world.run(requests(1500, 2, 40.0));
    let (mean, slowest) = (world.mean_s(), world.slowest_s(20));
    println!("mean {mean:.4} s, 95 of 100 within {slowest:.4} s");
    assert!(mean < 0.060, "{mean}");
    assert!(slowest < 0.130, "{slowest}");
}

/// VMs that each see a part of the requests all chose the fastest endpoint, whose
/// queue grew.
#[test]
fn items_of_several_vms_avoid_slow_and_full_engines() {
    let mut world = World::new(machines(changing, 1.0), 3, true);
    world.run(requests(600, 3, 25.0));
    let mean = world.mean_s();
    println!("mean {mean:.4} s");
    assert!(mean < 1.05, "{mean}");
}

/// An engine that is slow when nearly full was filled, since it was fast before.
#[test]
fn items_avoid_nearly_full_engines_that_slow_down() {
    let mut world = World::new(machines(changing, 4.0), 1, true);
    world.run(requests(600, 1, 10.0));
    let (mean, slowest) = (world.mean_s(), world.slowest_s(20));
    println!("mean {mean:.4} s, 95 of 100 within {slowest:.4} s");
    assert!(mean < 1.2, "{mean}");
    assert!(slowest < 3.5, "{slowest}");
}

/// Among endpoints of the same speed, all VMs of a failure domain preferred the
/// same one.
#[test]
fn requests_spread_over_services_of_the_same_speed() {
    for vms in [5, 20, 51] {
        let mut world = World::new(machines(steady, 1.0), vms, false);
        world.run(requests(1500, vms, 30.0));
        let served = world.served();
        let imbalance = imbalance(&served);
        println!("{vms} VMs: {served:?}, {imbalance:.2}");
        assert!(imbalance <= 1.3, "{vms} VMs: {served:?}");
    }
}

/// VMs that had read the same reports chose the same endpoint, which then was
/// full.
#[test]
fn vms_with_the_same_reports_choose_differently() {
    const VMS: usize = 20;
    let machines = machines(steady, 1.0);
    let mut world = World::new(machines, VMS, false);
    let now = Instant::now();
    for facts in &mut world.vms {
        for (id, load) in [
            ("e0", "2,0,6,101"),
            ("e1", "1,0,6,104"),
            ("e2", "2,0,6,98"),
            ("e3", "1,0,6,100"),
            ("e4", "2,0,6,103"),
            ("e5", "5,2,6,250"),
        ] {
            state(facts, id, load, now);
        }
    }
    let mut chosen = [0; 6];
    for vm in 0..VMS {
        let request = Request {
            vm,
            ..requests(VMS, VMS, 1.0)[vm].clone()
        };
        let key = world.choose(&request, None).unwrap();
        let number = world.keys[vm].iter().position(|known| *known == key);
        chosen[number.unwrap()] += 1;
    }
    println!("{chosen:?}");
    assert!(chosen.iter().all(|count| *count <= 8), "{chosen:?}");
    assert_eq!(chosen[5], 0);
}

/// A figure of this moment decides, one of the last second does not: it would
/// leave an endpoint idle that is as fast as the others.
#[test]
fn old_report_counts_for_nothing() {
    let mut world = World::new(machines(steady, 1.0), 1, false);
    let start = Instant::now();
    for id in ["e0", "e2", "e3", "e4", "e5"] {
        state(&mut world.vms[0], id, "1,0,6,100", start);
    }
    state(&mut world.vms[0], "e1", "1,0,6,300", start);
    let slow = world.keys[0][1];
    let count = |now| {
        let names: Vec<String> = (0..300).map(|number| format!("r{number}")).collect();
        let chosen = names.iter().filter(|request| {
            let criteria = Criteria {
                service: "writer",
                domain: "a",
                request,
                ..Criteria::default()
            };
            placement::choose(&world.vms[0], criteria, now) == Some(slow)
        });
        chosen.count()
    };
    assert_eq!(count(start), 0);
    assert_eq!(count(start + Duration::from_millis(150)), 0);
    let later = count(start + Duration::from_millis(1500));
    assert!((20..100).contains(&later), "{later}");
}

/// A VM must choose as it did before where endpoints state no figure or nonsense,
/// and must not fail on any.
#[test]
fn without_a_figure_as_before() {
    let play = |stated| {
        let machines = machines(changing, 1.0).into_iter();
        let machines = machines.map(|machine| Machine {
            stated: Some(stated),
            ..machine
        });
        let mut world = World::new(machines.collect(), 3, true);
        world.run(requests(200, 3, 20.0));
        (world.served(), world.mean_s())
    };
    let without = play("");
    for nonsense in [
        "0",
        "-100",
        "NaN",
        "1e300",
        "much",
        ",,,",
        "99999999999999999999",
    ] {
        assert_eq!(play(nonsense), without, "{nonsense}");
    }
}

/// An endpoint that states nonsense among others that do not is judged by the
/// times that this VM has measured.
#[test]
fn nonsense_of_one_endpoint() {
    let mut machines = machines(changing, 1.0);
    machines[0].stated = Some("0");
    machines[0].speed = 0.4;
    let mut world = World::new(machines, 1, true);
    world.run(requests(400, 1, 10.0));
    let served = world.served();
    println!("{served:?}");
    assert!(served[0] * 4 < served[1], "{served:?}");
}

const SHARED: Part = Part { id: 7, tokens: 800 };

/// Returns the items of `groups` groups of 16, each of which shares a prompt. A
/// group is sent at once, one each `gap`.
fn groups(groups: usize, gap: Duration) -> Vec<Request> {
    groups_of(0, groups, gap)
}

/// As [`groups`], with other random numbers for each `seed`.
fn groups_of(seed: usize, groups: usize, gap: Duration) -> Vec<Request> {
    let items = requests_of(seed, groups * 16, 1, 1000.0)
        .into_iter()
        .enumerate();
    let items = items.map(|(number, request)| {
        let group = number / 16;
        let shared = Part {
            id: group as u64,
            ..SHARED
        };
        let own = Part {
            id: 1_000_000 + number as u64,
            tokens: 40,
        };
        Request {
            prompt: vec![shared, own],
            sent: gap * group as u32,
            ..request
        }
    });
    items.collect()
}

/// Returns how many endpoints read the prompt of a group of 16, and the seconds
/// until its last item ended.
fn play_group(forgets: bool, crowding: f64) -> (u32, f64, u64) {
    let machine = |_| Machine {
        forgets,
        crowding,
        ..Machine::new(1.0)
    };
    let mut world = World::new((0..6).map(machine).collect(), 1, true);
    world.run(groups(1, Duration::ZERO));
    let read = world.machines.iter().filter(|m| m.prompts_read > 0).count();
    let tokens = world.machines.iter().map(|m| m.tokens_read).sum();
    (read as u32, world.slowest_s(1000), tokens)
}

/// The items of a group were spread until each endpoint had read their prompt.
#[test]
fn group_reads_its_prompt_at_few_endpoints() {
    let (read, last_s, tokens) = play_group(false, 1.0);
    println!("{read} endpoints read the prompt, last item after {last_s:.3} s, {tokens} tokens");
    assert!(read <= 4, "{read}");
    // The longest item alone takes as long.
    let longest = groups(1, Duration::ZERO);
    let longest = longest.iter().map(|item| item.events).fold(0.0, f64::max);
    assert!(last_s < longest * 0.045 * 1.1, "{last_s}");
}

/// Prompts that the endpoints do not hold any more are read again, nothing else.
#[test]
fn prompts_that_were_forgotten() {
    let (_, kept_s, _) = play_group(false, 1.0);
    let (_, forgotten_s, tokens) = play_group(true, 1.0);
    println!("{kept_s:.3} s, {forgotten_s:.3} s, {tokens} tokens");
    assert_eq!(tokens, 16 * (u64::from(SHARED.tokens) + 40));
    assert!(forgotten_s < kept_s * 1.05, "{kept_s} {forgotten_s}");
}

/// Where groups follow each other on uneven engines, most endpoints read each
/// prompt again, or the last items of groups ended late.
#[test]
fn groups_on_uneven_engines() {
    for (crowding, reads_max, end_max) in [(1.0, 4.5, 2.5), (4.0, 5.0, 4.1)] {
        let plays: Vec<(f64, f64)> = (0..SEEDS).map(|seed| play_groups(seed, crowding)).collect();
        let mean =
            |value: fn(&(f64, f64)) -> f64| plays.iter().map(value).sum::<f64>() / SEEDS as f64;
        let (reads, end) = (mean(|play| play.0), mean(|play| play.1));
        println!(
            "crowding {crowding}: {reads:.3} reads of each prompt, groups end after {end:.4} s"
        );
        assert!(reads < reads_max, "{reads}");
        assert!(end < end_max, "{end}");
    }
}

const SEEDS: usize = 6;

/// Returns how often each prompt was read, and the mean seconds until a group of
/// 16 ended.
fn play_groups(seed: usize, crowding: f64) -> (f64, f64) {
    let (reads, end, _) = play_groups_under(changing, seed, crowding, false);
    (reads, end)
}

/// As [`play_groups`], where work takes `factor` times as long, and with the runs
/// that were moved.
fn play_groups_under(
    factor: fn(usize, Duration) -> f64,
    seed: usize,
    crowding: f64,
    may_move: bool,
) -> (f64, f64, u32) {
    const GROUPS: usize = 30;
    let machines = (0..12).map(|number| Machine {
        factor,
        crowding,
        seed: seed * 100 + number,
        ..Machine::new([1.2, 1.0, 0.8, 0.6][number % 4])
    });
    let mut world = World::new(machines.collect(), 1, true);
    world.may_move = may_move;
    let gap = Duration::from_secs_f64(0.45 + 0.2 * crowding);
    let (reads, end) = run_groups(&mut world, seed, GROUPS, gap);
    (reads, end, world.moves)
}

/// Runs groups of 16, one each `gap`, and returns how often each prompt was read and
/// the mean seconds until a group ended.
fn run_groups(world: &mut World, seed: usize, groups: usize, gap: Duration) -> (f64, f64) {
    let mut items = groups_of(seed, groups, gap);
    items.sort_by(|a, b| a.sent.cmp(&b.sent).then(b.hint.total_cmp(&a.hint)));
    world.run(items);
    let mut ends = vec![0.0; groups];
    for item in &world.finished {
        let group = item.id[1..].parse::<usize>().unwrap() / 16;
        ends[group] = item.time.as_secs_f64().max(ends[group]);
    }
    let tokens: u64 = world.machines.iter().map(|m| m.tokens_read).sum();
    let own = groups as u64 * 16 * 40;
    let reads = (tokens - own) as f64 / (groups as f64 * f64::from(SHARED.tokens));
    (reads, ends.iter().sum::<f64>() / groups as f64)
}

/// Returns a factor of 3 for 4 s of each 12 s: another job on the machine.
fn disturbed(number: usize, now: Duration) -> f64 {
    let at = now.as_secs_f64() + 12.0 * random("disturbed", number);
    if at % 12.0 < 4.0 { 3.0 } else { 1.0 }
}

/// Runs moved away from machines that were slow for a moment only, and each move
/// costs a connection and a reading of the prompt.
#[test]
fn runs_move_if_their_machine_stays_slow() {
    let play = |factor, may_move| {
        let plays = (0..SEEDS).map(|seed| play_groups_under(factor, seed, 1.0, may_move));
        let plays: Vec<(f64, f64, u32)> = plays.collect();
        let end = plays.iter().map(|play| play.1).sum::<f64>() / SEEDS as f64;
        let moves: u32 = plays.iter().map(|play| play.2).sum();
        println!("{moves} moves, groups end after {end:.4} s");
        (moves, end)
    };
    let (_, stay_s) = play(changing, false);
    let (moves, end_s) = play(changing, true);
    assert!(moves < 250 && end_s < stay_s * 0.95, "{moves} {end_s}");
    let (_, stay_s) = play(disturbed, false);
    let (moves, end_s) = play(disturbed, true);
    assert!(moves < 400 && end_s < stay_s * 0.85, "{moves} {end_s}");
}

/// Returns facts with two equal engines, the first of which has read the prompt.
fn facts_with_prompt(parts: &[Part]) -> Facts {
    let mut world = World::new(vec![Machine::new(1.0), Machine::new(1.0)], 1, true);
    let mut facts = world.vms.remove(0);
    facts.record_prompt(facts.key("e0").unwrap(), parts);
    facts
}

fn criteria<'a>(parts: &'a [Part], request: &'a str) -> Criteria<'a> {
    Criteria {
        service: "writer",
        domain: "a",
        model: Some((MODEL, 1)),
        may_wait: true,
        request,
        work: Work {
            prompt: parts,
            ..Work::default()
        },
        ..Criteria::default()
    }
}

/// An endpoint that has loaded weights, restarted or moved holds nothing.
#[test]
fn prompts_are_gone_after_a_change_of_the_endpoint() {
    let parts = [SHARED];
    let changes: [fn(&mut platform::endpoint::Record); 3] = [
        |record| record.versions[0].1 = 2,
        |record| record.started_ms += 1,
        |record| record.address.set_port(81),
    ];
    for change in changes {
        let mut facts = facts_with_prompt(&parts);
        let key = facts.key("e0").unwrap();
        assert_eq!(facts.held_tokens(key, &parts), prompt::total(&parts));
        let mut record = facts.endpoints[key].record.clone();
        facts.put_endpoint("e0", record.clone());
        assert_eq!(facts.held_tokens(key, &parts), prompt::total(&parts));
        change(&mut record);
        facts.put_endpoint("e0", record);
        let key = facts.key("e0").unwrap();
        assert_eq!(facts.held_tokens(key, &parts), 0);
    }
}

/// Items stay where their prompt is only while there is a free slot and the
/// endpoint is about as fast as the other.
#[test]
fn prompt_weighs_less_than_a_queue_or_a_slow_endpoint() {
    let parts = [SHARED];
    let names: Vec<String> = (0..50).map(|number| format!("r{number}")).collect();
    let now = Instant::now();
    let at_holder = |facts: &Facts| {
        let holder = facts.key("e0");
        let chosen = names
            .iter()
            .filter(|name| placement::choose(facts, criteria(&parts, name), now) == holder);
        chosen.count()
    };
    let mut facts = facts_with_prompt(&parts);
    assert_eq!(at_holder(&facts), names.len());
    let holder = facts.key("e0").unwrap();
    facts.endpoints[holder].in_flight = SLOTS - 2;
    assert_eq!(at_holder(&facts), names.len());
    facts.endpoints[holder].in_flight = SLOTS;
    assert_eq!(at_holder(&facts), 0);
    facts.endpoints[holder].in_flight = 0;
    state(&mut facts, "e0", "0,4,6,100", now);
    assert_eq!(at_holder(&facts), names.len());
    state(&mut facts, "e0", "6,4,6,100", now);
    assert_eq!(at_holder(&facts), 0);
    state(&mut facts, "e0", "0,0,6,300", now);
    assert_eq!(at_holder(&facts), 0);
}

/// A run near its end was moved too: the new endpoint read the prompt and the
/// text, and the run ended no sooner.
#[test]
fn moves_only_if_the_time_left_is_worth_it() {
    let now = Instant::now();
    let should_move = |others, events, text_tokens, event_ms| {
        let mut facts = facts_with_prompt(&[]);
        for id in ["e0", "e1"] {
            let key = facts.key(id).unwrap();
            state(&mut facts, id, "1,0,6,100", now);
            facts.observe_latency(key, MODEL, Duration::from_millis(45), now);
        }
        let (key, other) = (facts.key("e0").unwrap(), facts.key("e1").unwrap());
        facts.endpoints[other].in_flight = others;
        let work = Work {
            events: Some(events),
            text_tokens,
            ..Work::default()
        };
        let criteria = Criteria {
            work,
            ..criteria(&[], "r")
        };
        let event_time = Duration::from_millis(event_ms);
        facts.observe_latency(key, MODEL, event_time, now);
        placement::should_move(&facts, key, criteria, event_time, now)
    };
    assert!(should_move(0, 60.0, 200, 90));
    assert!(!should_move(0, 3.0, 200, 90));
    assert!(!should_move(0, 60.0, 200, 55));
    assert!(!should_move(0, 60.0, 100_000_000, 90));
    assert!(!should_move(SLOTS, 60.0, 200, 90));
}

/// In a deployment of usual size, an engine that had been slow for a moment got few
/// items from then on, and more engines read each prompt.
#[test]
fn groups_on_many_engines() {
    const CLASSES: [f64; 4] = [1.2, 1.0, 0.8, 0.6];
    const GROUPS: usize = 100;
    let machines = (0..36).map(|number| Machine {
        factor: changing_alike,
        seed: 5000 + number,
        ..Machine::new(CLASSES[number % 4])
    });
    let mut world = World::new(machines.collect(), 1, true);
    world.may_move = true;
    let gap = Duration::from_millis(200);
    let (reads, end) = run_groups(&mut world, 50, GROUPS, gap);
    let served = world.served();
    let fastest: Vec<u32> = served.iter().copied().step_by(CLASSES.len()).collect();
    let mean = f64::from(fastest.iter().sum::<u32>()) / fastest.len() as f64;
    let busiest = f64::from(fastest.iter().copied().max().unwrap()) / mean;
    println!("{reads:.3} reads of each prompt, groups end after {end:.4} s, {served:?}");
    println!("busiest of the fastest {busiest:.2}, {} moves", world.moves);
    assert!(busiest <= 1.3, "{fastest:?}");
    assert!(reads < 7.5, "{reads}");
    assert!(end < 2.15, "{end}");
}
