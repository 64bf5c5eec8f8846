//! Members: the VMs of the deployment as this VM knows them.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    hash::{Map, hash_bytes},
    shared::Digests,
    time::Time,
};

crate::record! {
    /// One incarnation of a VM. A VM that restarts has a higher incarnation.
    #[derive(Eq)]
    pub struct Record {
        /// The name of the VM.
        pub vm: String,
        /// Its failure domain.
        pub failure_domain: String,
        /// The address at which peers reach it, over UDP and TCP.
        pub address: SocketAddr,
        /// Increases with each restart and each refuted suspicion. It is 0 for
        /// a VM that is known only from the platform's list.
        pub incarnation: u64,
    }
}

crate::record! {
    /// The state of a member, as judged by failure detection. Of two states of
    /// one incarnation, the later one in this order takes precedence.
    copy pub enum State {
        /// It answers probes.
        Live,
        /// It answered neither a direct probe nor an indirect one.
        Suspect,
        /// It did not refute the suspicion in time.
        Dead,
        /// It announced that it is leaving.
        Left,
    }
}

crate::record! {
    /// A statement about the state of a member.
    #[derive(Eq)]
    pub struct Update {
        /// The member.
        pub record: Record,
        /// Its state.
        pub state: State,
    }
}

crate::record! {
    /// How long ago a VM of a failure domain was last known to hold the same
    /// keys and configuration as the sender.
    pub struct SyncAge {
        /// The failure domain.
        pub failure_domain: String,
        /// The time since then, in milliseconds.
        pub age_ms: u32,
    }
}

crate::record! {
    /// The purpose of a packet.
    pub enum Purpose {
        /// Requests an [`Purpose::Ack`] with the same number.
        Ping(u32),
        /// Answers a ping.
        Ack(u32),
        /// Requests that the receiver ping this address for the sender.
        PingRequest(u32, SocketAddr),
        /// Carries only the fields that every packet has.
        Heartbeat,
    }
}

crate::record! {
    /// One datagram between members.
    pub struct Packet {
        /// The sender.
        pub from: Record,
        /// The purpose.
        pub purpose: Purpose,
        /// Statements about the states of members.
        pub updates: Vec<Update>,
        /// Digests of the facts that the sender holds.
        pub digests: Digests,
        /// Digest of the members that the sender considers live, including
        /// itself.
        pub members_digest: u64,
        /// How long ago the sender's keys and configuration were last known to
        /// be complete, in milliseconds; `None` if they never were.
        pub keys_age_ms: Option<u32>,
        /// How long ago other failure domains were last known to hold the
        /// sender's keys and configuration.
        pub sync_ages: Vec<SyncAge>,
    }
}

/// Another VM, as this VM knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its latest known incarnation.
    pub record: Record,
    /// Its state.
    pub state: State,
    /// Since when it has been in this state.
    pub since: Time,
    /// Whether it was in the platform's last list of VMs.
    pub is_listed: bool,
}

/// A probe that has not been answered yet.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The name of the probed member.
    pub vm: String,
    /// The number of the ping.
    pub number: u32,
    /// When it was sent.
    pub sent: Time,
    /// Whether other members were asked to ping it as well.
    pub is_indirect: bool,
}

/// A ping that was sent for another member.
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    /// The number of this VM's ping.
    pub number: u32,
    /// The address of the requesting member, and the number of its request.
    pub requester: (SocketAddr, u32),
    /// When it was sent.
    pub sent: Time,
}

/// The members and the state of their failure detection.
#[derive(Clone, Debug)]
pub struct Table {
    /// This VM.
    pub local: Record,
    /// Whether this VM has announced that it is leaving.
    pub is_leaving: bool,
    /// The other VMs by name.
    pub others: BTreeMap<String, Member>,
    /// Members still to be probed in this round.
    pub unprobed: Vec<String>,
    /// The probe in progress.
    pub probe: Option<Probe>,
    /// Pings that were sent for other members.
    pub indirect_probes: Vec<IndirectProbe>,
    /// The number of the last ping.
    pub last_ping_number: u32,
    /// When the next probe is due.
    pub next_probe: Time,
    /// When the next heartbeat is due.
    pub next_heartbeat: Time,
    /// Updates to spread, each with the number of packets that are still to
    /// carry it.
    pub pending_updates: Vec<(Update, u32)>,
    /// When a VM of each other failure domain was last known to hold the same
    /// keys and configuration as this VM.
    pub synced_at: Map<String, Time>,
    /// When this VM's keys and configuration were last known to be complete.
    pub keys_complete_at: Option<Time>,
    /// When a packet of any other member was last received.
    pub last_contact: Option<Time>,
}

impl Table {
    /// Returns the table of a VM that knows no other members.
    pub fn new(local: Record) -> Self {
        Self {
            local,
            is_leaving: false,
            others: BTreeMap::new(),
            unprobed: Vec::new(),
            probe: None,
            indirect_probes: Vec::new(),
            last_ping_number: 0,
            next_probe: Time::ZERO,
            next_heartbeat: Time::ZERO,
            pending_updates: Vec::new(),
            synced_at: Map::default(),
            keys_complete_at: None,
            last_contact: None,
        }
    }

    /// Returns the other members that are live or suspected.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let is_live = |m: &&Member| matches!(m.state, State::Live | State::Suspect);
        self.others.values().filter(is_live)
    }

    /// Returns the number of VMs that are live or suspected, including this
    /// one.
    pub fn live_count(&self) -> u32 {
        1 + self.live().count() as u32
    }

    /// Returns a digest of the live members, including this VM unless it is
    /// leaving.
    pub fn digest(&self) -> u64 {
        let hash = |record: &Record| hash_bytes(record.vm.as_bytes(), record.incarnation);
        let own = if self.is_leaving {
            0
        } else {
            hash(&self.local)
        };
        self.live()
            .fold(own, |digest, member| digest ^ hash(&member.record))
    }

    /// Returns the other members of a failure domain that are live or
    /// suspected.
    pub fn live_in<'a>(&'a self, failure_domain: &'a str) -> impl Iterator<Item = &'a Member> {
        self.live()
            .filter(move |m| m.record.failure_domain == failure_domain)
    }
}
