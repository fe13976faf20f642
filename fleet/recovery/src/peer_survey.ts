import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {DataCentreName, RandomSource, VmId} from '@carobseam/core.types';
import type {PeerLink, PeerState} from '@carobseam/fleet.link';
import {rendezvousOrder, type FleetEndpoint} from '@carobseam/fleet.types';

/** Options of a `PeerSurvey`. */
export interface PeerSurveyOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  /** Fleet endpoints from the settings that are asked first. */
  seedPeers: readonly FleetEndpoint[];
  blackboard: DaemonBlackboard;
  link: Pick<PeerLink, 'getState'>;
  random: RandomSource;
  logger: Logger;
}

/** Response of one peer. */
export interface SurveyResponse {
  readonly peer: FleetEndpoint;
  readonly state: PeerState;
}

/** Peers that are asked at once, and answers with a version that suffice. */
const BATCH = 5;
/** Peers of other data centres in each batch. */
const REMOTE_PER_BATCH = 1;
const MAX_BATCHES = 2;

/** Asks peers for the versions that they hold and remember. */
export class PeerSurvey {
  readonly #options: PeerSurveyOptions;

  constructor(options: PeerSurveyOptions) {
    this.#options = options;
  }

  /**
   * Asks 5 peers at once. Peers that fail or know no version themselves, for
   * example because they also just started, are replaced by 5 others. Replies
   * list members only for a daemon that knows none: in a fleet that starts at
   * once, lists of all members in each reply kept the seeds busy for a minute.
   */
  async ask(): Promise<SurveyResponse[]> {
    const candidates = this.#candidates();
    const answers: SurveyResponse[] = [];
    for (let batch = 0; batch < MAX_BATCHES; batch++) {
      const missing = BATCH - answers.filter(knowsVersion).length;
      const asked = candidates.splice(0, missing);
      if (asked.length === 0) {
        break;
      }
      const results = await Promise.all(asked.map(peer => this.#askOne(peer)));
      answers.push(...results.filter(answer => answer !== undefined));
    }
    return answers;
  }

  async #askOne(peer: FleetEndpoint): Promise<SurveyResponse | undefined> {
    const {vmId, dataCentre, link, blackboard, logger} = this.#options;
    const includeMembers = blackboard.read('members').size <= 1;
    const request = {vmId, dataCentre, includeMembers};
    try {
      return {peer, state: await link.getState(peer, request)};
    } catch (error) {
      logger.debug('peer_not_asked', {error: describeError(error)});
      return undefined;
    }
  }

  /** Seeds first, then witnesses of this VM mixed with remote peers. */
  #candidates(): FleetEndpoint[] {
    const {vmId, seedPeers, blackboard, random} = this.#options;
    const members = [...blackboard.read('members').values()].filter(
      member => member.vmId !== vmId && member.state !== 'dead',
    );
    const witnesses = rendezvousOrder(vmId, members, member => member.vmId);
    const key = `${vmId}/${random.nextInt(2 ** 31)}`;
    const remote = rendezvousOrder(
      key,
      blackboard.read('remotePeers'),
      peer => peer.vmId,
    );
    const mixed: FleetEndpoint[] = [];
    while (witnesses.length > 0 || remote.length > 0) {
      mixed.push(...witnesses.splice(0, BATCH - REMOTE_PER_BATCH));
      mixed.push(...remote.splice(0, REMOTE_PER_BATCH));
    }
    return unique([...seedPeers, ...mixed]);
  }
}

function knowsVersion({state}: SurveyResponse): boolean {
  return state.version > 0 || state.highestSeenVersion > 0;
}

function unique(peers: readonly FleetEndpoint[]): FleetEndpoint[] {
  const byAddress = new Map(
    peers.map(peer => [`${peer.address}:${peer.fleetPort}`, peer]),
  );
  return [...byAddress.values()];
}
