//! Tests of reading a job's content from a fake store.

mod common;

use std::time::Duration;

use fakes::site::{self, Fault, Plan, Site};
use platform::{
    batch::{Blob, Item},
    items::Items,
    store::{Store, Written},
};
use tarragonseam_site::job::{
    Handle, Registry,
    content::Content,
    record::{self, Claim, Page},
};

/// Returns a page with one sample of `item`.
fn page(item: &str) -> Page {
    Page {
        vm: "vm-0".to_string(),
        samples: vec![common::record::sample(item, "text")],
    }
}

/// A fake store, and a registry with access to its jobs.
struct Fixture {
    site: Site,
    registry: Registry,
    content: Content,
}

impl Fixture {
    fn new() -> Self {
        let site = site::spawn(Plan::default()).unwrap();
        let registry = Registry::default();
        let store = Store::new(site.store, Vec::new(), Vec::new());
        Self {
            site,
            content: Content::new(store, registry.clone()),
            registry,
        }
    }

    fn job(&self) -> Handle {
        self.registry.put_head("job-a", common::record::head(2))
    }

    /// Returns the job after a claim of `vm`.
    fn claimed_job(&self, vm: &str) -> Handle {
        let job = self.job();
        let claim = Claim {
            vm: vm.to_string(),
            address: None,
        };
        self.registry.put_claim("job-a", 0, claim);
        job
    }

    async fn write(&self, number: u32, item: &str) {
        let page = page(item);
        let written = self.content.write_page("job-a", number, &page).await;
        written.unwrap();
    }
}

#[test]
fn read_pages_of_removed_job() {
    let read = async {
        let fixture = Fixture::new();
        let job = fixture.job();
        fixture.write(0, "a-0").await;
        fixture.write(1, "a-1").await;
        // The VM stops being a coordinator while a read of the job is in
        // progress.
        fixture.registry.clear();
        fixture.content.read_pages(&job).await.unwrap();
        job.borrow().samples.len()
    };
    assert_eq!(link::runtime::run(read).unwrap(), 2);
}

#[test]
fn read_only_new_pages() {
    let read = async {
        let fixture = Fixture::new();
        let job = fixture.job();
        fixture.write(0, "a-0").await;
        fixture.content.read_pages(&job).await.unwrap();
        fixture.write(1, "a-1").await;
        fixture.content.read_pages(&job).await.unwrap();
        let samples = job.borrow().samples.clone();
        let ids: Vec<String> = samples.iter().map(|sample| sample.id.clone()).collect();
        (
            ids,
            fixture
                .site
                .state()
                .names(&record::ContentName::kind("job-a")),
        )
    };
    let (ids, names) = link::runtime::run(read).unwrap();
    assert_eq!(ids, ["a-0", "a-1"]);
    assert_eq!(names, ["p00000", "p00001"]);
}

#[test]
fn write_fence_after_unseen_page() {
    let write = async {
        let fixture = Fixture::new();
        let job = fixture.claimed_job("vm-1");
        fixture.content.read_pages(&job).await.unwrap();
        fixture.write(0, "a-0").await;
        fixture.content.write_fence(&job, "vm-1").await;
        let late = fixture.content.write_page("job-a", 1, &page("a-1")).await;
        let is_refused = matches!(late, Ok(Written::Conflict(_)));
        let job = job.borrow();
        (job.samples.len(), job.is_sole_writer, is_refused)
    };
    assert_eq!(link::runtime::run(write).unwrap(), (1, true, true));
}

#[test]
fn write_fence_with_lost_replies() {
    let write = async {
        let fixture = Fixture::new();
        let job = fixture.claimed_job("vm-1");
        fixture.site.state().fault = Fault::DroppedReplies;
        let lost = fixture.content.write_fence(&job, "vm-1");
        let is_written = monoio::time::timeout(Duration::from_millis(500), lost).await;
        fixture.site.state().fault = Fault::None;
        let is_known_before = job.borrow().is_sole_writer;
        fixture.content.write_fence(&job, "vm-1").await;
        let job = job.borrow();
        (
            is_written.is_ok(),
            is_known_before,
            job.is_sole_writer,
            job.pages,
        )
    };
    let expected = (false, false, true, 2);
    assert_eq!(link::runtime::run(write).unwrap(), expected);
}

#[test]
fn page_of_other_vm_after_fence() {
    let read = async {
        let fixture = Fixture::new();
        let job = fixture.claimed_job("vm-1");
        fixture.content.write_fence(&job, "vm-1").await;
        let is_sole_before = job.borrow().is_sole_writer;
        fixture.write(1, "a-0").await;
        fixture.content.read_pages(&job).await.unwrap();
        (is_sole_before, job.borrow().is_sole_writer)
    };
    assert_eq!(link::runtime::run(read).unwrap(), (true, false));
}

/// Returns the parts of `items` as builds before the encoded items stored them: as many
/// items each as fit into 500 KiB by their approximate size, but at least one.
fn parts_of_earlier_builds(items: &[Item]) -> Vec<Vec<Item>> {
    let (mut parts, mut bytes) = (vec![Vec::new()], 0);
    for item in items {
        bytes += item.encoded_bytes();
        if bytes > 500 * 1024 && parts.last().is_some_and(|part| !part.is_empty()) {
            parts.push(Vec::new());
            bytes = item.encoded_bytes();
        }
        parts.last_mut().unwrap().push(item.clone());
    }
    parts
}

/// Guards against items that are lost or stored twice while builds from before and after
/// the encoded items write the same job.
#[test]
fn write_same_parts_as_earlier_builds() {
    const KIND: &str = "rollout-job-job-a";
    let sizes = [0, 1, 100, 600_000, 3, 400_000, 90_000, 20_000, 700_000];
    let large = sizes.iter().map(|size| "x".repeat(*size));
    let small = (0..3000).map(|number: usize| "y".repeat(number % 7));
    let items = large.chain(small).enumerate().map(|(number, path)| Item {
        id: format!("a-{number}"),
        path,
        headers: Default::default(),
        body: Blob("body".into()),
        tokens: 1,
        group: None,
        scorer: None,
    });
    let items: Vec<Item> = items.collect();
    for items in [&items[..], &[]] {
        let expected = parts_of_earlier_builds(items);
        // Formatted otherwise and with a field that earlier builds ignore.
        let mut text = serde_json::to_value(items).unwrap();
        for item in text.as_array_mut().unwrap() {
            item["unknown"] = serde_json::json!([1, 2]);
        }
        let encoded = Items::read(serde_json::to_string_pretty(&text).unwrap().into()).unwrap();
        let write = async {
            let fixture = Fixture::new();
            let content = &fixture.content;
            content.write_items("job-a", &encoded, None).await.unwrap();
            let read = content.items(&fixture.job()).await.unwrap();
            let decoded = (0..read.len()).map(|position| read.decode(position).unwrap());
            assert_eq!(decoded.collect::<Vec<Item>>(), items);
            let store = Store::new(fixture.site.store, Vec::new(), Vec::new());
            let objects = store.list(KIND).await.unwrap().value;
            let parts = objects.iter().map(|object| object.read().unwrap());
            parts.collect::<Vec<Vec<Item>>>()
        };
        assert_eq!(link::runtime::run(write).unwrap(), expected);
    }
}
