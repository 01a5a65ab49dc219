//! Assumed round trips between data centres, used before any was measured.

use std::rc::Rc;

use indexmap::IndexMap;
use model::id::{DataCentre, Region};
use model::unit::Span;

/// Round trip within a data centre.
const SAME_DATA_CENTRE: Span = Span::from_micros(500);

/// Round trip between data centres of a region; the operators state 0.5 to 1.4 ms one way.
const SAME_REGION: Span = Span::from_millis(3);

/// Round trip between regions; the operators state 20 ms one way.
const OTHER_REGION: Span = Span::from_millis(40);

/// The data centre of this proxy, and the region of each data centre.
#[derive(Clone, Debug)]
pub struct Distances {
    here: DataCentre,
    regions: Rc<IndexMap<DataCentre, Region>>,
}

impl Distances {
    /// The distances from a data centre.
    pub fn new(here: DataCentre, regions: IndexMap<DataCentre, Region>) -> Self {
        Self {
            here,
            regions: Rc::new(regions),
        }
    }

    /// Whether two data centres are in one region, as far as regions are known.
    pub fn same_region(&self, one: &DataCentre, other: &DataCentre) -> bool {
        let region = self.regions.get(one);
        one == other || (region.is_some() && region == self.regions.get(other))
    }

    /// The region of a data centre, if known.
    pub fn region(&self, data_centre: &DataCentre) -> Option<&Region> {
        self.regions.get(data_centre)
    }

    /// The assumed round trip to a data centre.
    pub fn round_trip(&self, there: &DataCentre) -> Span {
        if *there == self.here {
            return SAME_DATA_CENTRE;
        }
        if self.same_region(&self.here, there) {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }
}
