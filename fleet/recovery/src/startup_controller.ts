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
  survey: Pick<PeerSurvey, 'ask'>;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Pulls the version of a peer and applies it. */
  pullFrom: (peer: FleetEndpoint & {vmId: VmId}) => Promise<unknown>;
  /** Takes over members that peers reported. */
  onMembers: (members: readonly MemberRecord[]) => void;
  /** Called with the highest version that a peer saw. */
  onHighestSeen: (version: number) => void;
}

/** Spreads the requests of daemons that start together. */
const START_JITTER_MS = 200;
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 2000;
/**
 * Without any answer the platform's version is accepted after this time. Three
 * attempts at peers that do not respond fit in.
 */
const NO_ANSWER_MS = 5000;
const SOFT_FLOOR_MS = 10_000;

/**
 * Start sequence: asks peers for the version floor, then pulls from the peer
 * with the highest version until this daemon holds one.
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
    const answers = await survey.ask();
    if (this.#closed) {
      return;
    }
    answers.forEach(({state}) => {
      onMembers(state.members);
      onHighestSeen(Math.max(state.version, state.highestSeenVersion));
    });
    this.#updateFloor(answers);
    await this.#pull(answers);
    // Half of the delay is random, so that daemons do not retry in step.
    this.#schedule(this.#retryMs * (0.5 + random.nextFloat() / 2));
    this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * 2);
  }

  #isDone(): boolean {
    return (
      this.#closed || this.#options.blackboard.read('snapshot') !== undefined
    );
  }

  /** Floors only rise; the soft one ends when no live peer holds it. */
  #updateFloor(answers: readonly SurveyResponse[]): void {
    const {blackboard, clock, logger} = this.#options;
    const known = blackboard.read('versionFloor');
    const ageMs = clock.monotonicMs() - this.#startedMs;
    const states = answers.map(({state}) => state);
    const soft = Math.max(
      known.soft,
      ...states.map(state => Math.max(state.version, state.highestSeenVersion)),
    );
    const floor: VersionFloor = {
      hard: Math.max(known.hard, ...states.map(s => s.lastVersionOfAsker)),
      soft,
      softActive: ageMs < SOFT_FLOOR_MS || this.#isHeldByPeer(soft, answers),
      settled: known.settled || answers.length > 0 || ageMs >= NO_ANSWER_MS,
    };
    if (!isSameFloor(floor, known)) {
      const {hard, softActive, settled} = floor;
      logger.info('version_floor', {hard, soft, softActive, settled});
      blackboard.write('versionFloor', floor);
    }
  }

  #isHeldByPeer(version: number, answers: readonly SurveyResponse[]): boolean {
    const members = [...this.#options.blackboard.read('members').values()];
    return (
      answers.some(({state}) => state.version >= version) ||
      members.some(
        member => member.state !== 'dead' && member.configVersion >= version,
      )
    );
  }

  /** Pulls from the peers in turn, the one with the highest version first. */
  async #pull(answers: readonly SurveyResponse[]): Promise<void> {
    const {blackboard, pullFrom, logger} = this.#options;
    const holders = answers
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
