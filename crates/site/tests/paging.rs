//! Tests of when samples are published, and how many of them a page contains.

mod common;

use std::{rc::Rc, time::Duration};

use board::hash::Set;
use platform::{
    batch::{Blob, Item},
    items::Items,
};
use tarragonseam_site::job::paging::{self, Groups, Ready};

fn item(id: &str, group: Option<&str>) -> Item {
    Item {
        id: id.to_string(),
        path: "/p".to_string(),
        headers: Default::default(),
        body: Blob(Default::default()),
        tokens: 1,
        group: group.map(str::to_string),
        scorer: None,
    }
}

/// The limit of the platform for an object.
const OBJECT_BYTES_MAX: usize = 1000 * 1000;

fn groups(items: &[Item]) -> Groups {
    let text = serde_json::to_string(items).unwrap();
    Groups::new(Rc::new(Items::read(text.into()).unwrap()))
}

/// Returns a sample of the item at the position `item`.
fn ready(item: usize, id: &str, bytes: usize) -> Ready {
    let sample = common::record::sample(id, &"x".repeat(bytes));
    Ready { item, sample }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn publish_complete_group_at_once() {
    let items = [item("a", Some("g")), item("b", Some("g"))];
    let groups = groups(&items);
    let mut published = Set::default();
    let (a, b) = (ready(0, "a", 1), ready(1, "b", 1));
    assert!(!groups.is_due(std::slice::from_ref(&a), &published, millis(500)));
    assert!(groups.is_due(&[a, b.clone()], &published, millis(150)));
    published.insert("a".to_string());
    assert!(groups.is_due(&[b], &published, millis(150)));
}

#[test]
fn publish_incomplete_group_after_wait() {
    let items = [item("a", Some("g")), item("b", Some("g"))];
    let groups = groups(&items);
    let ready = [ready(0, "a", 1)];
    assert!(!groups.is_due(&ready, &Set::default(), millis(1000)));
    assert!(groups.is_due(&ready, &Set::default(), millis(1200)));
}

#[test]
fn publish_ungrouped_sample_after_page_period() {
    let groups = groups(&[item("a", None), item("b", None)]);
    let ready = [ready(0, "a", 1)];
    assert!(!groups.is_due(&ready, &Set::default(), millis(200)));
    assert!(groups.is_due(&ready, &Set::default(), millis(350)));
    assert!(!groups.is_due(&[], &Set::default(), millis(5000)));
}

#[test]
fn limit_page_size() {
    let large = 500 * 1024;
    assert_eq!(
        paging::next_page(&[ready(0, "a", large), ready(1, "b", 1)]).len(),
        1
    );
    let small = [ready(0, "a", 1), ready(1, "b", 1), ready(2, "c", large)];
    assert_eq!(paging::next_page(&small).len(), 2);
    assert!(paging::next_page(&[]).is_empty());
}

/// Guards against a page that the store refuses, since its samples have little text but
/// are many, or have characters that take more space once they are encoded.
#[test]
fn limit_encoded_page_size() {
    let many = (0..30_000).map(|item| ready(item, &format!("item-{item}"), 0));
    let many: Vec<Ready> = many.collect();
    let escaped: Vec<Ready> = (0..50)
        .map(|item| {
            let sample = common::record::sample(&item.to_string(), &"\u{1}\n".repeat(8 * 1024));
            Ready { item, sample }
        })
        .collect();
    for samples in [many, escaped] {
        let page = paging::next_page(&samples);
        assert!(!page.is_empty());
        let encoded = serde_json::to_string(&page).unwrap();
        assert!(encoded.len() < OBJECT_BYTES_MAX, "{}", encoded.len());
    }
}
