//! The content of a snapshot.

use board::config::{Manifest, manifest};

board::record! {
    /// Objects of the platform, consistent with each other except for leases
    /// and order intents.
    pub(crate) struct Body {
        /// When the snapshot was taken: milliseconds since the Unix epoch, by
        /// the clock of the host that ran the command.
        pub(crate) taken_ms: u64,
        /// The platform's version at which the objects were consistent.
        pub(crate) version: u64,
        /// The objects by kind.
        pub(crate) groups: Vec<Group>,
    }
}

board::record! {
    /// The objects of one kind.
    pub(crate) struct Group {
        /// The kind.
        pub(crate) kind: String,
        /// The objects in the order of their names.
        pub(crate) objects: Vec<Object>,
    }
}

board::record! {
    /// One object.
    #[derive(Eq)]
    pub(crate) struct Object {
        /// Its name.
        pub(crate) name: String,
        /// Its version.
        pub(crate) version: u64,
        /// Its value, which is text for every kind in a snapshot.
        pub(crate) value: String,
    }
}

impl Body {
    /// Returns the objects of `kind`.
    pub(crate) fn group(&self, kind: &str) -> &[Object] {
        let group = self.groups.iter().find(|group| group.kind == kind);
        group.map_or(&[], |group| &group.objects)
    }

    /// Returns one object.
    pub(crate) fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        let mut objects = self.group(kind).iter();
        objects.find(|object| object.name == name)
    }

    /// Returns the manifest of the configuration in force, if there is one.
    pub(crate) fn manifest(&self) -> Option<Manifest> {
        let object = self.find(manifest::KIND, manifest::CURRENT)?;
        serde_json::from_str(&object.value).ok()
    }
}
