//! Locations of processes and backend servers, and distances between them.

use crate::id;

/// A data centre with its region.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Location {
    /// The region of the data centre.
    pub region: id::Region,
    /// The data centre.
    pub data_centre: id::DataCentre,
}

/// Distance between two locations, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Distance {
    /// Both are in the same data centre.
    SameDataCentre,
    /// They are in different data centres of the same region.
    SameRegion,
    /// They are in different regions, connected by a slow link that is billed per byte.
    OtherRegion,
}

impl Location {
    /// Distance to `other`.
    pub fn distance(&self, other: &Self) -> Distance {
        if self.region != other.region {
            Distance::OtherRegion
        } else if self.data_centre != other.data_centre {
            Distance::SameRegion
        } else {
            Distance::SameDataCentre
        }
    }
}
