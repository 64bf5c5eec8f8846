//! Tests of the record of prompts that an endpoint still holds.

use proptest::prelude::*;
use tarragonseam_policy::prompt::{self, Kept, PARTS_MAX, Part};

const fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

/// A part counts only if all parts before it are held too.
#[test]
fn held_stops_at_first_missing_part() {
    let mut kept = Kept::default();
    kept.record(&[part(1, 100), part(2, 200)], 80_000);
    assert_eq!(kept.held(&[part(1, 100), part(2, 200), part(3, 50)]), 300);
    assert_eq!(kept.held(&[part(1, 100), part(9, 10), part(2, 200)]), 100);
    assert_eq!(kept.held(&[part(9, 10), part(1, 100)]), 0);
    assert_eq!(kept.held(&[]), 0);
}

/// The last part of a prompt belongs to one request, so it has to go before what
/// the group shares.
#[test]
fn evicts_own_parts_before_shared_ones() {
    let mut kept = Kept::default();
    for own in 0..20 {
        kept.record(&[part(1, 300), part(100 + own, 50)], 500);
    }
    assert_eq!(kept.held(&[part(1, 300)]), 300);
    assert_eq!(kept.held(&[part(1, 300), part(100, 50)]), 300);
    assert_eq!(kept.held(&[part(1, 300), part(119, 50)]), 350);
}

#[test]
fn evicts_least_recently_used() {
    let mut kept = Kept::default();
    kept.record(&[part(1, 40)], 100);
    kept.record(&[part(2, 40)], 100);
    kept.record(&[part(1, 40)], 100);
    kept.record(&[part(3, 40)], 100);
    let held = |id| kept.held(&[part(id, 40)]);
    assert_eq!([held(1), held(2), held(3)], [40, 0, 40]);
}

/// Nearly the same share counts as the same, so that a few tokens do not outweigh
/// an idle connection.
#[test]
fn quarters_of_shared_parts() {
    let parts = [part(1, 20), part(2, 380), part(3, 500)];
    let quarters = [0, 20, 400, 900].map(|held| prompt::quarters(held, &parts));
    assert_eq!(quarters, [0, 0, 4, 4]);
    assert_eq!(prompt::quarters(7, &[part(1, 7)]), 4);
    assert_eq!(prompt::quarters(5, &[part(1, 0)]), 4);
    assert_eq!(prompt::quarters(u64::MAX, &parts), 4);
    assert_eq!(prompt::quarters(1, &[]), 0);
}

proptest! {
    /// VMs with 120 MB keep the record too, and headers may state anything.
    #[test]
    fn bounded_for_any_prompts(
        prompts in prop::collection::vec(
            prop::collection::vec((0_u64..2000, any::<u32>()), 0..20),
            0..200,
        ),
        capacity in any::<u64>(),
    ) {
        let mut kept = Kept::default();
        for prompt in &prompts {
            let parts: Vec<Part> = prompt.iter().map(|(id, tokens)| part(*id, *tokens)).collect();
            kept.record(&parts, capacity);
            prop_assert!(kept.len() <= PARTS_MAX);
            prop_assert!(kept.tokens() <= capacity);
            prop_assert!(kept.held(&parts) <= prompt::total(&parts));
        }
    }

    #[test]
    fn holds_what_fits(tokens in prop::collection::vec(1_u32..1000, 1..50)) {
        let parts: Vec<Part> = (0..).zip(&tokens).map(|(id, tokens)| part(id, *tokens)).collect();
        let mut kept = Kept::default();
        kept.record(&parts, prompt::total(&parts));
        prop_assert_eq!(kept.held(&parts), prompt::total(&parts));
    }
}
