//! Stable hash with the same result in every process and release.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a sequence of strings with FNV-1a and a final mix. A separator byte delimits the strings.
#[must_use]
pub fn hash_strings(parts: &[&str]) -> u64 {
    let mut state = OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state ^= u64::from(byte);
            state = state.wrapping_mul(PRIME);
        }
    }
    mix(state)
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
#[must_use]
pub fn mix(number: u64) -> u64 {
    let mut state = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
