//! Hashes that are the same in every build and on every machine.

const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;
const MIX: u64 = 0xff51_afd7_ed55_8ccd;

/// Hashes a list of texts: FNV-1a with a final mixing step that spreads the last bytes over
/// the whole word. Every proxy must compute the same ranking from these hashes, and the
/// standard hasher differs between processes.
pub fn of<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = BASIS;
    for part in parts {
        for byte in part.bytes().chain([0]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(MIX);
    hash ^ (hash >> 33)
}
