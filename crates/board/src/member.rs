//! Members: the VMs of the deployment as this VM knows them.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    hash::{Map, hash_bytes},
    shared::Digests,
    time::Time,
};

crate::record! {
    /// One life of a VM: a VM that restarts comes back with a higher
    /// incarnation.
    #[derive(Eq)]
    pub struct Record {
        /// The VM.
        pub vm: String,
        /// Its failure domain.
        pub failure_domain: String,
        /// Where peers reach it, over UDP and TCP.
        pub address: SocketAddr,
        /// Grows with each life and each refuted suspicion; 0 for a VM that is
        /// only listed.
        pub incarnation: u64,
    }
}

crate::record! {
    /// What is thought of a member. Of two opinions on one incarnation, the
    /// later one in this order stands.
    copy pub enum State {
        /// It answers.
        Live,
        /// It did not answer a probe, nor those made through others.
        Suspect,
        /// It was suspected for too long.
        Dead,
        /// It announced that it leaves.
        Left,
    }
}

crate::record! {
    /// An opinion about a member.
    #[derive(Eq)]
    pub struct Update {
        /// The member.
        pub record: Record,
        /// What is thought of it.
        pub state: State,
    }
}

crate::record! {
    /// When a failure domain was last heard, as an age.
    pub struct SyncAge {
        /// The failure domain.
        pub failure_domain: String,
        /// How long ago, in milliseconds.
        pub age_ms: u32,
    }
}

crate::record! {
    /// What a packet is for.
    pub enum Purpose {
        /// Asks for an [`Purpose::Ack`] with the same number.
        Ping(u32),
        /// Answers a ping.
        Ack(u32),
        /// Asks the receiver to ping this address for the sender.
        PingRequest(u32, SocketAddr),
        /// Only carries what every packet carries.
        Heartbeat,
    }
}

crate::record! {
    /// One datagram between members.
    pub struct Packet {
        /// The sender.
        pub from: Record,
        /// What it is for.
        pub purpose: Purpose,
        /// Opinions about members.
        pub updates: Vec<Update>,
        /// Digests of what the sender holds.
        pub digests: Digests,
        /// Digest of the members that the sender thinks live, itself included.
        pub members: u64,
        /// How long ago the sender's keys were known to be complete, in
        /// milliseconds; `None` when they never were.
        pub keys_age_ms: Option<u32>,
        /// When the sender last heard other failure domains.
        pub sync_ages: Vec<SyncAge>,
    }
}

/// What is known of another VM.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its latest life.
    pub record: Record,
    /// What is thought of it.
    pub state: State,
    /// Since when it is thought so.
    pub since: Time,
    /// Whether the platform listed it when last asked.
    pub is_listed: bool,
}

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The member.
    pub vm: String,
    /// The number of the ping.
    pub number: u32,
    /// When it was sent.
    pub sent: Time,
    /// Whether others were asked to try.
    pub is_indirect: bool,
}

/// A ping made for another member.
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    /// The number of our ping.
    pub number: u32,
    /// Who asked, and under which number.
    pub requester: (SocketAddr, u32),
    /// When it was sent.
    pub sent: Time,
}

/// The members and the state of their failure detection.
#[derive(Clone, Debug)]
pub struct Table {
    /// This VM.
    pub local: Record,
    /// Whether this VM announced that it leaves.
    pub is_leaving: bool,
    /// The other VMs by name.
    pub others: BTreeMap<String, Member>,
    /// Members still to be probed in this round.
    pub probe_round: Vec<String>,
    /// The probe under way.
    pub probe: Option<Probe>,
    /// Probes made for others.
    pub indirect_probes: Vec<IndirectProbe>,
    /// The number of the last ping.
    pub number: u32,
    /// When the next probe is due.
    pub next_probe: Time,
    /// When the next beat is due.
    pub next_heartbeat: Time,
    /// Opinions to spread, and how many packets each still rides on.
    pub pending_updates: Vec<(Update, u32)>,
    /// When each other failure domain was last heard to hold the same keys.
    pub synced_at: Map<String, Time>,
    /// When the keys known here were last known to be complete.
    pub keys_complete_at: Option<Time>,
    /// When any other member was last heard.
    pub last_contact: Option<Time>,
}

impl Table {
    /// Returns the table of a VM that knows no other.
    pub fn new(local: Record) -> Self {
        Self {
            local,
            is_leaving: false,
            others: BTreeMap::new(),
            probe_round: Vec::new(),
            probe: None,
            indirect_probes: Vec::new(),
            number: 0,
            next_probe: Time::ZERO,
            next_heartbeat: Time::ZERO,
            pending_updates: Vec::new(),
            synced_at: Map::default(),
            keys_complete_at: None,
            last_contact: None,
        }
    }

    /// Returns the members that are thought to live, this VM not among them.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let lives = |m: &&Member| matches!(m.state, State::Live | State::Suspect);
        self.others.values().filter(lives)
    }

    /// Returns how many VMs are thought to live, this one included.
    pub fn live_count(&self) -> u32 {
        1 + self.live().count() as u32
    }

    /// Returns a digest of the live members, this VM included.
    pub fn digest(&self) -> u64 {
        let mark = |record: &Record| hash_bytes(record.vm.as_bytes(), record.incarnation);
        let own = if self.is_leaving {
            0
        } else {
            mark(&self.local)
        };
        self.live()
            .fold(own, |digest, member| digest ^ mark(&member.record))
    }

    /// Returns the live members of a failure domain, this VM not among them.
    pub fn live_in<'a>(&'a self, failure_domain: &'a str) -> impl Iterator<Item = &'a Member> {
        self.live()
            .filter(move |m| m.record.failure_domain == failure_domain)
    }
}
