/**
 * Time for which prompts occupy engines, without the parts of their latency that
 * do not depend on their length.
 *
 * @module
 */

/** Weight that earlier samples keep at each further sample. */
const retention = 0.99;
/** Samples needed before the regression is used. */
const minSamples = 20;
/** Least spread of prompt lengths, as the deviation relative to the mean. */
const minSpread = 0.2;
/** Prompts below this length show the delays of hosts rather than the engine. */
const minInformativeTokens = 1_500;
/** Quantile of the time per token that busy hosts and stalls hardly affect. */
const lowQuantile = 0.2;
/** Step of the quantile on a logarithmic scale. */
const quantileStep = 0.05;
/** Factor on the quantile, for prompts whose cached part was underestimated. */
const quantileMargin = 1.3;
/** Longest time that one sample counts, relative to the expected one. */
const maxOutlierFactor = 4;

/**
 * Least-squares regression of the time of prompts on their uncached tokens, with
 * exponential forgetting. Paths, the start of a step and delays of the measuring
 * host add to each prompt's time whatever its length; the slope leaves them out.
 */
export class ComputeTimeRegression {
  #count = 0;
  #weight = 0;
  #tokens = 0;
  #time = 0;
  #tokensSquared = 0;
  #product = 0;
  /** Logarithm of the low quantile of the time per token. */
  #lowLogarithm: number | undefined;

  /** Adds a prompt with its measured time, in milliseconds. */
  add(tokens: number, elapsed: number): void {
    const expected = this.#expectedTime(tokens);
    const time = expected === undefined
      ? elapsed
      : Math.min(elapsed, maxOutlierFactor * expected);
    this.#count += 1;
    this.#weight = this.#weight * retention + 1;
    this.#tokens = this.#tokens * retention + tokens;
    this.#time = this.#time * retention + time;
    this.#tokensSquared = this.#tokensSquared * retention + tokens * tokens;
    this.#product = this.#product * retention + tokens * time;
    if (tokens >= minInformativeTokens) this.#addToQuantile(elapsed / tokens);
  }

  /**
   * Milliseconds for which a further token occupies an engine; undefined while
   * unknown. Where hosts are slower than engines, the slope is mostly noise of the
   * hosts; no prompt takes less than its engine time, so a low quantile bounds it.
   */
  get engineTimePerToken(): number | undefined {
    const slope = this.timePerToken;
    if (this.#lowLogarithm === undefined || this.#count < minSamples) {
      return slope;
    }
    const low = Math.exp(this.#lowLogarithm) * quantileMargin;
    return Math.min(low, slope ?? low);
  }

  #addToQuantile(timePerToken: number): void {
    if (!(timePerToken > 0)) return;
    const logarithm = Math.log(timePerToken);
    if (this.#lowLogarithm === undefined) this.#lowLogarithm = logarithm;
    else if (logarithm < this.#lowLogarithm) {
      this.#lowLogarithm -= quantileStep * (1 - lowQuantile);
    } else this.#lowLogarithm += quantileStep * lowQuantile;
  }

  /** Slope of the regression; undefined while unknown. */
  get timePerToken(): number | undefined {
    if (this.#count < minSamples) return undefined;
    const meanTokens = this.#tokens / this.#weight;
    const variance = this.#tokensSquared / this.#weight - meanTokens ** 2;
    if (!(variance > (meanTokens * minSpread) ** 2)) return undefined;
    const meanTime = this.#time / this.#weight;
    const covariance = this.#product / this.#weight - meanTokens * meanTime;
    const slope = covariance / variance;
    return slope > 0 ? slope : undefined;
  }

  #expectedTime(tokens: number): number | undefined {
    const slope = this.timePerToken;
    if (slope === undefined) return undefined;
    const meanTokens = this.#tokens / this.#weight;
    const meanTime = this.#time / this.#weight;
    return Math.max(meanTime, meanTime + slope * (tokens - meanTokens));
  }
}
