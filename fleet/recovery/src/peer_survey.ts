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
  /** Fleet endpoints from the settings; they are queried first. */
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

/** Number of peers that are queried at once, and of responses with a version that are enough. */
const BATCH_SIZE = 5;
/** Number of peers of other data centres in each batch. */
const REMOTE_PEERS_PER_BATCH = 1;
const MAX_BATCHES = 2;

/** Queries peers for the versions that they have and that they have seen on other VMs. */
export class PeerSurvey {
  readonly #options: PeerSurveyOptions;

  constructor(options: PeerSurveyOptions) {
    this.#options = options;
  }

  /**
   * Queries 5 peers at once. Peers that fail or know no version, for example
   * because they have also just started, are replaced by up to 5 others.
   * Responses list the members only if this daemon knows none: when a whole
   * fleet started at once, full lists in every response kept the seeds busy for
   * a minute.
   */
  async run(): Promise<SurveyResponse[]> {
    const candidates = this.#listCandidates();
    const responses: SurveyResponse[] = [];
    for (let batch = 0; batch < MAX_BATCHES; batch++) {
      const missingCount = BATCH_SIZE - responses.filter(hasVersion).length;
      const queriedPeers = candidates.splice(0, missingCount);
      if (queriedPeers.length === 0) {
        break;
      }
      const results = await Promise.all(
        queriedPeers.map(peer => this.#queryPeer(peer)),
      );
      responses.push(...results.filter(response => response !== undefined));
    }
    return responses;
  }

  async #queryPeer(peer: FleetEndpoint): Promise<SurveyResponse | undefined> {
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

  /**
   * Peers in the order in which they are queried: the seeds, then the witnesses
   * of this VM mixed with peers of other data centres. The witnesses are the
   * first members in rendezvous order of the VM's id; a daemon sends them each
   * new version at once, so they are the most likely to know its last one.
   */
  #listCandidates(): FleetEndpoint[] {
    const {vmId, seedPeers, blackboard, random} = this.#options;
    const members = [...blackboard.read('members').values()].filter(
      member => member.vmId !== vmId && member.state !== 'dead',
    );
    const witnesses = rendezvousOrder(vmId, members, member => member.vmId);
    const key = `${vmId}/${random.nextInt(2 ** 31)}`;
    const remotePeers = rendezvousOrder(
      key,
      blackboard.read('remotePeers'),
      peer => peer.vmId,
    );
    const mixed: FleetEndpoint[] = [];
    while (witnesses.length > 0 || remotePeers.length > 0) {
      mixed.push(...witnesses.splice(0, BATCH_SIZE - REMOTE_PEERS_PER_BATCH));
      mixed.push(...remotePeers.splice(0, REMOTE_PEERS_PER_BATCH));
    }
    return uniqueByEndpoint([...seedPeers, ...mixed]);
  }
}

function hasVersion({state}: SurveyResponse): boolean {
  return state.version > 0 || state.highestSeenVersion > 0;
}

function uniqueByEndpoint(peers: readonly FleetEndpoint[]): FleetEndpoint[] {
  const byAddress = new Map(
    peers.map(peer => [`${peer.address}:${peer.fleetPort}`, peer]),
  );
  return [...byAddress.values()];
}
