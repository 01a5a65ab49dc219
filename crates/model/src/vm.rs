//! Sizes of the VMs on which proxies run.

use serde::{Deserialize, Serialize};

use crate::macros;

/// Most cores, as a product of their number and the part of each, that a size may state.
const MAX_CORES: f64 = 4_096.0;

/// Fastest link that a size may state, in Mbit/s.
const MAX_LINK_MBPS: f64 = 1e7;

/// Error from stating a size.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{field} must be above 0 and at most {max}, and is {value}")]
pub struct VmSizeError {
    /// Name of the number.
    pub field: &'static str,
    /// Its value.
    pub value: f64,
    max: f64,
}

macros::value! {
    /// What a VM can carry.
    ///
    /// Invariant: the numbers of a size that was stated here are above 0. One that another
    /// process sent may hold zeros.
    #[derive(Copy, Serialize, Deserialize)]
    pub struct VmSize {
        /// Processor time that it gets, in thousandths of a core.
        pub cpu_millis: u32,
        /// Bandwidth of its network link, in kbit/s.
        pub link_kbps: u32,
    }
}

impl VmSize {
    /// The size of a VM that gets the part `core_share` of each of `cores` cores, and has a
    /// link of `link_mbps` Mbit/s.
    pub fn new(cores: f64, core_share: f64, link_mbps: f64) -> Result<Self, VmSizeError> {
        check("cores", cores, MAX_CORES)?;
        check("core_share", core_share, MAX_CORES)?;
        check("cores x core_share", cores * core_share, MAX_CORES)?;
        check("link_mbps", link_mbps, MAX_LINK_MBPS)?;
        Ok(Self {
            cpu_millis: thousandths(cores * core_share),
            link_kbps: thousandths(link_mbps),
        })
    }
}

fn check(field: &'static str, value: f64, max: f64) -> Result<(), VmSizeError> {
    if value > 0.0 && value <= max {
        return Ok(());
    }
    Err(VmSizeError { field, value, max })
}

/// A checked number in thousandths, at least one.
fn thousandths(value: f64) -> u32 {
    ((value * 1e3).round() as u32).max(1)
}
