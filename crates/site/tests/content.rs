//! Reads of a job's content from a fake store.

mod common;

use fakes::site::{self, Plan, Site};
use platform::store::Store;
use tarragonseam_site::job::{
    Handle, Registry,
    content::Content,
    record::{self, Page},
};

/// Returns a page with one sample of `item`.
fn page(item: &str) -> Page {
    Page {
        vm: "vm-0".to_string(),
        samples: vec![common::record::sample(item, "text")],
    }
}

/// A fake store, and a registry with access to its jobs.
struct World {
    site: Site,
    registry: Registry,
    content: Content,
}

impl World {
    fn new() -> Self {
        let site = site::spawn(Plan::default()).unwrap();
        let registry = Registry::default();
        let store = Store::new(site.store, Vec::new(), None);
        Self {
            site,
            content: Content::new(store, registry.clone()),
            registry,
        }
    }

    fn job(&self) -> Handle {
        self.registry.put_head("job-a", common::record::head(2))
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
        let world = World::new();
        let job = world.job();
        world.write(0, "a-0").await;
        world.write(1, "a-1").await;
        // The VM stops being a coordinator while a read of the job is in
        // progress.
        world.registry.clear();
        world.content.read_pages(&job).await.unwrap();
        job.borrow().samples.len()
    };
    assert_eq!(link::runtime::run(read).unwrap(), 2);
}

#[test]
fn read_only_new_pages() {
    let read = async {
        let world = World::new();
        let job = world.job();
        world.write(0, "a-0").await;
        world.content.read_pages(&job).await.unwrap();
        world.write(1, "a-1").await;
        world.content.read_pages(&job).await.unwrap();
        let samples = job.borrow().samples.clone();
        let ids: Vec<String> = samples.iter().map(|sample| sample.id.clone()).collect();
        (
            ids,
            world
                .site
                .state()
                .names(&record::ContentName::kind("job-a")),
        )
    };
    let (ids, names) = link::runtime::run(read).unwrap();
    assert_eq!(ids, ["a-0", "a-1"]);
    assert_eq!(names, ["p00000", "p00001"]);
}
