//! Reads the initial lists of VMs and endpoints from TOML files.

use std::path::Path;

use serde::{Deserialize, de::DeserializeOwned};

use super::{Config, Endpoint, Vm};
use crate::Error;

#[derive(Default, Deserialize)]
struct Vms {
    #[serde(default)]
    vm: Vec<Vm>,
}

#[derive(Default, Deserialize)]
struct Endpoints {
    #[serde(default)]
    endpoint: Vec<Endpoint>,
}

/// Returns the initial VMs.
pub(crate) fn vms(config: &Config) -> Result<Vec<Vm>, Error> {
    let mut list: Vms = read(config.vms.as_deref())?;
    list.vm.extend(config.first_vms.iter().cloned());
    Ok(list.vm)
}

/// Returns the initial endpoints.
pub(crate) fn endpoints(config: &Config) -> Result<Vec<Endpoint>, Error> {
    let mut list: Endpoints = read(config.endpoints.as_deref())?;
    list.endpoint.extend(config.first_endpoints.iter().cloned());
    Ok(list.endpoint)
}

fn read<T: DeserializeOwned + Default>(path: Option<&Path>) -> Result<T, Error> {
    let Some(path) = path else {
        return Ok(T::default());
    };
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    toml::from_str(&text).map_err(|source| Error::Parse {
        path: path.to_owned(),
        source: Box::new(source),
    })
}
