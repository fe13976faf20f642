import type {DaemonBlackboard, VersionFloor} from '@carobseam/core.blackboard';
import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {
  Clock,
  Controller,
  RandomSource,
  Timer,
  VmId,
} from '@carobseam/core.types';
import type {FleetEndpoint, MemberRecord} from '@carobseam/fleet.types';
import type {PeerSurvey, SurveyResponse} from './peer_survey.js';

/** Options of a `StartupController`. */
export interface StartupControllerOptions {
  blackboard: DaemonBlackboard;
  survey: Pick<PeerSurvey, 'run'>;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Pulls the current version of a peer and applies it. */
  pullFrom: (peer: FleetEndpoint & {vmId: VmId}) => Promise<unknown>;
  /** Called with the members that a peer reported. */
  onMembers: (members: readonly MemberRecord[]) => void;
  /** Called with the highest version that a peer has or has seen. */
  onHighestSeen: (version: number) => void;
}

/** Maximum random delay, so that daemons which start together do not send their requests at once. */
const START_JITTER_MS = 200;
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 2000;
/**
 * If no peer has responded after this time, the platform's version is accepted.
 * Long enough for three attempts with peers that do not respond.
 */
const NO_RESPONSE_MS = 5000;
/** Time after the start for which the soft floor holds in any case. */
const SOFT_FLOOR_MS = 10_000;

/**
 * Runs the start sequence of a daemon: surveys peers to determine the version
 * floor, then pulls from the peer with the highest version, and repeats both
 * until this daemon has a version.
 *
 * The version floor is the lowest version that may be applied. It protects
 * against a stale platform or peer, which would otherwise take a restarted
 * daemon back to an older version. The hard floor is the highest version that a
 * peer has seen on this VM; it always holds. The soft floor is the highest
 * version that a peer has seen anywhere; it holds for some time after the start,
 * and as long as a live peer has that version.
 */
export class StartupController implements Controller {
  readonly #options: StartupControllerOptions;
  #startedMs = 0;
  #retryMs = FIRST_RETRY_MS;
  #timer?: Timer;
  #closed = false;

  constructor(options: StartupControllerOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const {clock, random} = this.#options;
    this.#startedMs = clock.monotonicMs();
    this.#schedule(random.nextFloat() * START_JITTER_MS);
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#timer?.cancel();
  }

  #schedule(delayMs: number): void {
    if (!this.#closed) {
      const run = () => void this.#run();
      this.#timer = this.#options.clock.setTimer(delayMs, run);
    }
  }

  async #run(): Promise<void> {
    const {survey, onMembers, onHighestSeen, random} = this.#options;
    if (this.#isDone()) {
      return;
    }
    const responses = await survey.run();
    if (this.#closed) {
      return;
    }
    responses.forEach(({state}) => {
      onMembers(state.members);
      onHighestSeen(Math.max(state.version, state.highestSeenVersion));
    });
    this.#updateFloor(responses);
    await this.#pull(responses);
    // Half of the delay is random, so that daemons do not retry at the same time.
    this.#schedule(this.#retryMs * (0.5 + random.nextFloat() / 2));
    this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * 2);
  }

  #isDone(): boolean {
    return (
      this.#closed || this.#options.blackboard.read('snapshot') !== undefined
    );
  }

  /** Raises the floors; the soft floor becomes inactive when no live peer has its version. */
  #updateFloor(responses: readonly SurveyResponse[]): void {
    const {blackboard, clock, logger} = this.#options;
    const previous = blackboard.read('versionFloor');
    const ageMs = clock.monotonicMs() - this.#startedMs;
    const states = responses.map(({state}) => state);
    const soft = Math.max(
      previous.soft,
      ...states.map(state => Math.max(state.version, state.highestSeenVersion)),
    );
    const floor: VersionFloor = {
      hard: Math.max(previous.hard, ...states.map(s => s.lastVersionOfAsker)),
      soft,
      softActive:
        ageMs < SOFT_FLOOR_MS || this.#hasPeerVersion(soft, responses),
      settled:
        previous.settled || responses.length > 0 || ageMs >= NO_RESPONSE_MS,
    };
    if (!isSameFloor(floor, previous)) {
      const {hard, softActive, settled} = floor;
      logger.info('version_floor', {hard, soft, softActive, settled});
      blackboard.write('versionFloor', floor);
    }
  }

  #hasPeerVersion(
    version: number,
    responses: readonly SurveyResponse[],
  ): boolean {
    const members = [...this.#options.blackboard.read('members').values()];
    return (
      responses.some(({state}) => state.version >= version) ||
      members.some(
        member => member.state !== 'dead' && member.configVersion >= version,
      )
    );
  }

  /** Pulls from one peer after the other, starting with the highest version. */
  async #pull(responses: readonly SurveyResponse[]): Promise<void> {
    const {blackboard, pullFrom, logger} = this.#options;
    const holders = responses
      .filter(({state}) => state.version > 0)
      .sort((a, b) => b.state.version - a.state.version);
    for (const {peer, state} of holders) {
      if (this.#isDone() || !blackboard.read('versionFloor').settled) {
        return;
      }
      await pullFrom({...peer, vmId: state.vmId}).catch(error =>
        logger.debug('pull_failed', {error: describeError(error)}),
      );
    }
  }
}

function isSameFloor(a: VersionFloor, b: VersionFloor): boolean {
  return (
    a.hard === b.hard &&
    a.soft === b.soft &&
    a.softActive === b.softActive &&
    a.settled === b.settled
  );
}
