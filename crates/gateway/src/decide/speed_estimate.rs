//! Estimate of a service's [`Speed`] from samples, by recursive least squares on the logarithm of
//! real over predicted time. The first samples have the greatest weight.

use super::speed::{Sample, Speed, Work};

/// Figures that are estimated: all of a [`Speed`] but the event gap.
pub(super) const FIGURES: usize = 6;

pub(super) type Vector = [f64; FIGURES];

/// Variances of the first guesses, in the order of [`parameters`]. Times are estimated as
/// logarithms, so that 1.0 stands for a factor of 2.7.
const PRIOR_VARIANCES: Vector = [1.0, 1.0, 0.06, 0.04, 0.000_025, 0.5];

/// Variance of a sample's logarithm around a right prediction.
const SAMPLE_VARIANCE: f64 = 0.1;

/// Share of the evidence that each further sample replaces, so that the estimate follows changes. With
/// 1%, prompts that all new servers had to read whole still raised predictions 20 s later.
const FORGETTING_SHARE: f64 = 0.02;

/// Longest deviation of a sample that counts, as a logarithm: a request that met a stalled server
/// says little about the service.
const DEVIATION_LIMIT: f64 = 0.2;

/// Additional deviation that counts in the first sample; the n-th counts 1/n of it. First guesses
/// may be wrong by a factor of ten.
const FIRST_DEVIATION: f64 = 1.0;

/// How much more a deviation counts once [`SETTLED_SAMPLES`] have settled the estimate. Then nearly all
/// deviations count as much as the longest, and the estimate follows the median: a third of the
/// requests wait for some that this node does not know of, and their mean would make the
/// predictions of the others too long.
const MEDIAN_STEEPNESS: f64 = 2.0;
const SETTLED_SAMPLES: f64 = 20.0;

/// Steps of the running quantile of real over predicted times, relative to its value. As the step down
/// is three times as large, it settles at the 25th percentile.
const RATIO_STEP_UP: f64 = 0.01;
const RATIO_STEP_DOWN: f64 = 0.03;

/// Least share of a predicted time that counts as work of the server.
const LEAST_WORK_SHARE: f64 = 0.5;

/// Weight of a new event gap at the least.
const GAP_WEIGHT: f64 = 0.15;

/// The most that an estimate weighs, in samples.
pub const WEIGHT_LIMIT: f64 = 1.0 / FORGETTING_SHARE;

/// Estimate of one node from its own samples.
#[derive(Clone, Copy, Debug)]
pub struct SpeedEstimate {
    speed: Speed,
    covariance: [Vector; FIGURES],
    samples: f64,
    work_share: f64,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        let mut covariance = [[0.0; FIGURES]; FIGURES];
        for (place, variance) in PRIOR_VARIANCES.iter().enumerate() {
            covariance[place][place] = *variance;
        }
        Self {
            speed: Speed::default(),
            covariance,
            samples: 0.0,
            work_share: 1.0,
        }
    }
}

impl SpeedEstimate {
    pub fn speed(&self) -> Speed {
        self.speed
    }

    /// Number of samples behind the estimate, at most [`WEIGHT_LIMIT`].
    pub fn weight(&self) -> f64 {
        self.samples
    }

    pub fn record(&mut self, sample: &Sample) {
        self.samples = (self.samples + 1.0).min(WEIGHT_LIMIT);
        // Times are whole milliseconds, rounded down.
        let real_ms = (sample.after_ms as f64 + 0.5) / sample.factor;
        let predicted_ms = self.speed.first_byte_ms(&sample.work);
        self.record_ratio(real_ms / predicted_ms);
        let limit = DEVIATION_LIMIT + FIRST_DEVIATION / self.samples;
        let steepness = 1.0 + MEDIAN_STEEPNESS * (self.samples / SETTLED_SAMPLES).min(1.0);
        let deviation = steepness * (real_ms / predicted_ms).ln();
        let deviation = deviation.clamp(-limit, limit);
        let slopes = slopes(&self.speed, &sample.work, predicted_ms);
        let gains = self.gains(&slopes);
        let mut values = parameters(&self.speed);
        for (value, gain) in values.iter_mut().zip(gains) {
            *value += gain * deviation;
        }
        let gap_ms = self.speed.gap_ms;
        self.speed = Speed {
            gap_ms,
            ..speed(values)
        };
    }

    /// Share of a predicted time that the server works for the request. Predictions are those of the
    /// median request, and a third of the requests wait for some that this node does not know of;
    /// the fastest quarter shows the work.
    pub fn work_share(&self) -> f64 {
        self.work_share
    }

    fn record_ratio(&mut self, ratio: f64) {
        self.work_share *= match ratio > self.work_share {
            true => 1.0 + RATIO_STEP_UP,
            false => 1.0 - RATIO_STEP_DOWN,
        };
        self.work_share = self.work_share.clamp(LEAST_WORK_SHARE, 1.0);
    }

    /// Records the time between two events.
    pub fn record_gap(&mut self, gap_ms: f64) {
        let known_ms = &mut self.speed.gap_ms;
        if *known_ms <= 0.0 {
            *known_ms = gap_ms;
            return;
        }
        // Bounds the sample, so that one stall does not make the service look broken for seconds.
        let sample_ms = gap_ms.min(*known_ms * 4.0 + 1.0);
        *known_ms += GAP_WEIGHT * (sample_ms - *known_ms);
    }

    /// Corrections of the figures per unit of deviation. Updates the covariance.
    fn gains(&mut self, slopes: &Vector) -> Vector {
        let projected: Vector = self.covariance.map(|row| dot(&row, slopes));
        let variance = SAMPLE_VARIANCE + dot(&projected, slopes);
        let gains = projected.map(|p| p / variance);
        // The lower triangle is copied: rounding errors would make the matrix asymmetric, and the
        // forgetting lets an asymmetry grow without bound.
        for (row, gain) in gains.iter().enumerate() {
            for (column, p) in projected.iter().enumerate().skip(row) {
                let cell = self.covariance[row][column] - gain * p;
                let cell = cell / (1.0 - FORGETTING_SHARE);
                self.covariance[row][column] = cell;
                self.covariance[column][row] = cell;
            }
        }
        self.limit_covariance();
        gains
    }

    /// No figure becomes less certain than the first guess, also if samples tell nothing of it.
    fn limit_covariance(&mut self) {
        let mut scales = PRIOR_VARIANCES;
        for (place, scale) in scales.iter_mut().enumerate() {
            let variance = self.covariance[place][place];
            if variance.is_nan() || variance <= 0.0 {
                self.covariance = Self::default().covariance;
                return;
            }
            *scale = (*scale / variance).sqrt().min(1.0);
        }
        for (row, row_scale) in self.covariance.iter_mut().zip(&scales) {
            for (cell, scale) in row.iter_mut().zip(&scales) {
                *cell *= row_scale * scale;
            }
        }
    }
}

/// Change of the logarithm of the predicted time per unit of each figure.
fn slopes(speed: &Speed, work: &Work, predicted_ms: f64) -> Vector {
    let slowdown = speed.slowdown(work);
    let base_ms = speed.reading_and_start_ms(work);
    let ahead_ms = speed.reading_ms(work.tokens_ahead);
    let home_ms = speed.reading_ms(work.home_tokens);
    [
        speed.start_ms * slowdown / predicted_ms,
        (base_ms - speed.start_ms) * slowdown / predicted_ms,
        ahead_ms * slowdown / predicted_ms,
        home_ms * slowdown / predicted_ms,
        base_ms * f64::from(work.running) / predicted_ms,
        speed.waiting_ms(work) / predicted_ms,
    ]
}

/// Figures as they are estimated and averaged.
pub(super) fn parameters(speed: &Speed) -> Vector {
    [
        speed.start_ms.ln(),
        speed.read_ms_per_token.ln(),
        speed.ahead_share,
        speed.home_unread_share,
        speed.running_share,
        speed.queued_ms.ln(),
    ]
}

/// The reverse of [`parameters`], within possible bounds.
pub(super) fn speed(values: Vector) -> Speed {
    let [
        start,
        read,
        ahead_share,
        home_unread_share,
        running_share,
        queued,
    ] = values;
    Speed {
        start_ms: start.exp().clamp(0.1, 10_000.0),
        read_ms_per_token: read.exp().clamp(0.000_01, 10.0),
        ahead_share: ahead_share.clamp(0.0, 1.5),
        home_unread_share: home_unread_share.clamp(0.0, 1.0),
        running_share: running_share.clamp(0.0, 0.1),
        queued_ms: queued.exp().clamp(0.1, 10_000.0),
        gap_ms: 0.0,
    }
}

fn dot(a: &Vector, b: &Vector) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
