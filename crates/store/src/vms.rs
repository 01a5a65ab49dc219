//! The platform's list of VMs. It lags behind the actual state, so it is only a hint.

use std::net::IpAddr;

use model::id::DataCentre;

use crate::calls::Kind;
use crate::client::Client;
use crate::error::Error;

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Its address.
    pub address: IpAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its state.
    pub state: State,
}

impl Client {
    /// Reads the VM list at `url`.
    pub async fn vms(&self, url: &str) -> Result<Vec<Vm>, Error> {
        let bytes = self.fetch(Kind::VmList, url).await?;
        serde_json::from_slice(&bytes).map_err(Error::Decode)
    }
}
