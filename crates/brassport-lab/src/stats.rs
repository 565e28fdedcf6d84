//! Means with intervals, over seeds.
//!
//! An interval is the studentized bootstrap's (bootstrap-t) at 95%: the resampled means are taken in units of their
//! own standard error, which covers better than plain percentiles with the few seeds that a study has. Of fewer than
//! eight values resamples of nearly equal ones make it useless; there Student's t stands in. Resampling draws from a
//! fixed stream, so that the same values give the same interval.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Fewest values that are resampled.
const FEWEST: usize = 8;
/// A resample whose error is below this part of the values' own is left out: it would be divided by next to nothing.
const LEAST_ERROR: f64 = 0.1;
/// Resamples of an interval.
const RESAMPLES: usize = 1000;
/// Chance that an interval misses, half of it on either side.
const MISS: f64 = 0.05;

/// A mean with its interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// The lower end of its interval.
    pub low: f64,
    /// The upper end.
    pub high: f64,
    /// Values that it is of.
    pub count: usize,
}

impl Mean {
    /// Whether the interval leaves this value out. One value alone tells of no spread and leaves nothing out.
    pub fn excludes(&self, value: f64) -> bool {
        self.count > 1 && (value < self.low || value > self.high)
    }
}

fn moments(values: impl Iterator<Item = f64> + Clone) -> (f64, f64) {
    let count = values.clone().count() as f64;
    let mean = values.clone().sum::<f64>() / count;
    let squares: f64 = values.map(|value| (value - mean).powi(2)).sum();
    (mean, if count > 1.0 { (squares / (count - 1.0) / count).sqrt() } else { 0.0 })
}

/// The mean of some values, with its interval at 95%. Of one value the interval is without end.
pub fn mean(values: &[f64]) -> Mean {
    let count = values.len();
    let (mean, error) = moments(values.iter().copied());
    if count < 2 {
        return Mean { mean, low: f64::NEG_INFINITY, high: f64::INFINITY, count };
    }
    if error == 0.0 {
        return Mean { mean, low: mean, high: mean, count };
    }
    if count < FEWEST {
        let student = StudentsT::new(0.0, 1.0, (count - 1) as f64).expect("one degree of freedom or more");
        let reach = student.inverse_cdf(1.0 - MISS / 2.0) * error;
        return Mean { mean, low: mean - reach, high: mean + reach, count };
    }
    let mut random = Pcg64Mcg::seed_from_u64(0x62_72_61_73_73);
    let mut picked = vec![0.0; count];
    let mut students: Vec<f64> = (0..RESAMPLES)
        .filter_map(|_| {
            picked.iter_mut().for_each(|value| *value = values[random.random_range(0..count)]);
            let (other, its_error) = moments(picked.iter().copied());
            (its_error > LEAST_ERROR * error).then(|| (other - mean) / its_error)
        })
        .collect();
    if students.len() < RESAMPLES / 2 {
        // Nearly all values are the same: the range is all that is known.
        let (low, high) = values.iter().fold((mean, mean), |(low, high), &at| (low.min(at), high.max(at)));
        return Mean { mean, low, high, count };
    }
    students.sort_by(f64::total_cmp);
    let at = |part: f64| students[((students.len() - 1) as f64 * part).round() as usize];
    Mean { mean, low: mean - at(1.0 - MISS / 2.0) * error, high: mean - at(MISS / 2.0) * error, count }
}

/// What a comparison of paired values says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The second is greater.
    Greater,
    /// The second is less.
    Less,
    /// The interval of the differences holds nought.
    NoneSeen,
}

/// Differences of pairs, second less first, and what they say.
pub fn compare(pairs: &[(f64, f64)]) -> (Mean, Verdict) {
    let differences: Vec<f64> = pairs.iter().map(|(first, second)| second - first).collect();
    let mean = mean(&differences);
    let verdict = match mean.excludes(0.0) {
        false => Verdict::NoneSeen,
        true if mean.mean > 0.0 => Verdict::Greater,
        true => Verdict::Less,
    };
    (mean, verdict)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_distr::{Distribution, Exp, Normal};

    /// How many of 1,000 intervals over `count` draws hold the true mean.
    fn covered(distribution: impl Distribution<f64>, truth: f64, count: usize) -> usize {
        let mut random = Pcg64Mcg::seed_from_u64(7);
        let draw =
            |random: &mut Pcg64Mcg| (0..count).map(|_| distribution.sample(random)).collect::<Vec<f64>>();
        (0..1000).filter(|_| !mean(&draw(&mut random)).excludes(truth)).count()
    }

    #[test]
    fn intervals_cover_the_mean_of_known_distributions_as_often_as_they_claim() {
        for (what, count, covers) in [
            ("normal", 3, covered(Normal::new(5.0, 2.0).unwrap(), 5.0, 3)),
            ("normal", 10, covered(Normal::new(5.0, 2.0).unwrap(), 5.0, 10)),
            ("normal", 30, covered(Normal::new(5.0, 2.0).unwrap(), 5.0, 30)),
            ("exponential", 30, covered(Exp::new(0.5).unwrap(), 2.0, 30)),
        ] {
            println!("{what}, {count} values: {covers} of 1000");
            // Two deviations of a count of 1,000 are 14; skewed values lose a little more.
            assert!((925..=975).contains(&covers), "{what}, {count} values: {covers} of 1000");
        }
    }

    #[test]
    fn no_difference_is_seen_in_noise_and_a_real_one_is() {
        let mut random = Pcg64Mcg::seed_from_u64(3);
        let noise = Normal::new(0.0, 1.0).unwrap();
        let mut seen = 0;
        for _ in 0..1000 {
            // What both share, a seed's own luck, is far greater than what parts them.
            let luck = 100.0 * noise.sample(&mut random);
            let pairs: Vec<(f64, f64)> = (0..12)
                .map(|_| (luck + noise.sample(&mut random), luck + noise.sample(&mut random)))
                .collect();
            seen += usize::from(compare(&pairs).1 != Verdict::NoneSeen);
        }
        assert!((25..=80).contains(&seen), "{seen} of 1000 differences seen where none is");
        let pairs: Vec<(f64, f64)> = (0..12)
            .map(|seed| {
                let luck = 100.0 * f64::from(seed);
                (luck + noise.sample(&mut random), luck - 5.0 + noise.sample(&mut random))
            })
            .collect();
        assert_eq!(compare(&pairs).1, Verdict::Less);
    }

    #[test]
    fn equal_values_and_single_ones_have_the_intervals_that_they_must_have() {
        assert_eq!(mean(&[2.0; 5]), Mean { mean: 2.0, low: 2.0, high: 2.0, count: 5 });
        assert!(!mean(&[2.0]).excludes(1e9));
        assert_eq!(compare(&[(1.0, 1.0), (2.0, 2.0)]).1, Verdict::NoneSeen);
        assert_eq!(compare(&[(1.0, 1.5), (2.0, 2.5)]).1, Verdict::Greater);
    }
}
