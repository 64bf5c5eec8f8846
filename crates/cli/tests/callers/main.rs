//! What callers see of a running entry daemon, from the socket up.

mod account;
mod answer;
#[path = "../common/mod.rs"]
mod common;
mod fault;
mod framing;
mod gone;
mod hedge;
mod raw;
mod reclaim;
mod service;
mod shutdown;
mod tls;
mod trainer;
mod world;
