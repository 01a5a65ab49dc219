//! Where a process or a backend server runs, and how near two places are.

use crate::id;

/// A data centre together with its region.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Location {
    /// The region that holds the data centre.
    pub region: id::Region,
    /// The data centre.
    pub data_centre: id::DataCentre,
}

/// Distance between two places, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Distance {
    /// Both are in one data centre.
    SameDataCentre,
    /// Both are in one region.
    SameRegion,
    /// They are in different regions, joined by a slow link with a price per byte.
    OtherRegion,
}

impl Location {
    /// How far away `other` is.
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
