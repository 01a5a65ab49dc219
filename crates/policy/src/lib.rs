//! Decisions of the fleet, free of sockets and clocks.
