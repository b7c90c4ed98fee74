//! Hashes that are the same on every controller and in every version.

use caperstile_types::JobId;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Draws for different purposes must not depend on each other.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Purpose {
    /// Whether a submission is admitted.
    Admission = 1,
    /// When a refused user may come back.
    Retry = 2,
}

/// A number below 2^32 for a job, evenly distributed and different in each draw.
pub(crate) fn uniform_u32(purpose: Purpose, job: JobId, salt: u32) -> u32 {
    let mut hasher = SipHasher13::new_with_keys(purpose as u64, u64::from(salt));
    hasher.write_u64(job.0.to_le());
    (hasher.finish() >> 32) as u32
}
