//! Hashes that are identical on all controllers and in all versions, so that all nodes decide alike.

use caperstile_types::JobId;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// What a hash value is used for. Each purpose has its own hash key, so that the values for one purpose are independent
/// of those for another.
#[derive(Debug, Clone, Copy)]
pub(crate) enum HashPurpose {
    /// Selects the submissions that are admitted.
    Admission = 1,
    /// Selects the retry delay of a refused submission.
    RetryAfter = 2,
}

/// Hashes a job's id to a uniformly distributed number below 2^32. Different salts give independent numbers.
pub(crate) fn uniform_u32(purpose: HashPurpose, job: JobId, salt: u32) -> u32 {
    let mut hasher = SipHasher13::new_with_keys(purpose as u64, u64::from(salt));
    hasher.write_u64(job.0.to_le());
    (hasher.finish() >> 32) as u32
}
