import {
  createDaemonBlackboard,
  type DaemonBlackboard,
  type MemberView,
} from '@carobseam/core.blackboard';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName, VmId} from '@carobseam/core.types';
import {
  DataCentreExchange,
  DisseminationController,
  VersionApplier,
  type DisseminationProfile,
} from '@carobseam/fleet.dissemination';
import {FleetAuthenticator} from '@carobseam/fleet.link';
import {InMemoryLinkNetwork, makeMember} from '@carobseam/testing.fixtures';

/** One daemon of a `TestFleet`. */
export interface TestDaemon {
  member: MemberView;
  blackboard: DaemonBlackboard;
  metrics: Metrics;
  authenticator: FleetAuthenticator;
  dissemination: DisseminationController;
}

/** Options of a `TestFleet`. */
export interface TestFleetOptions {
  size: number;
  seed: number;
  /** Profile of a daemon, by its position. */
  profile?: DisseminationProfile | ((index: number) => DisseminationProfile);
  dataCentres?: readonly string[];
}

/** Daemons on one manual clock that distribute versions among each other. */
export class TestFleet {
  readonly clock = new ManualClock();
  readonly network: InMemoryLinkNetwork;
  readonly daemons: TestDaemon[];
  readonly #random: SeededRandom;

  constructor(options: TestFleetOptions) {
    const {size, seed, dataCentres = ['ost-wien']} = options;
    this.#random = new SeededRandom(seed);
    this.network = new InMemoryLinkNetwork(this.clock, this.#random);
    const members = dataCentres.flatMap(name =>
      Array.from({length: size}, (_, index) =>
        makeMember({
          vmId: `${name}-${index}` as VmId,
          dataCentre: name as DataCentreName,
        }),
      ),
    );
    const {profile = 'fast'} = options;
    this.daemons = members.map((member, index) => {
      const ownProfile = typeof profile === 'string' ? profile : profile(index);
      return this.#create(member, members, ownProfile);
    });
  }

  /** Disconnects a daemon without notifying the others. */
  kill(daemon: TestDaemon): void {
    this.network.detach(daemon.member.address);
  }

  versions(): number[] {
    return this.daemons.map(d => d.blackboard.read('snapshot')?.version ?? 0);
  }

  async total(
    name: Parameters<Metrics['total']>[0],
    labels: Record<string, string>,
  ): Promise<number> {
    const totals = this.daemons.map(d => d.metrics.total(name, labels));
    return (await Promise.all(totals)).reduce((sum, total) => sum + total, 0);
  }

  /** Starts the version exchange between data centres; only readers use it. */
  startExchange(): void {
    for (const daemon of this.daemons) {
      const {dissemination, blackboard, metrics, member} = daemon;
      void new DataCentreExchange({
        vmId: member.vmId,
        dataCentre: member.dataCentre,
        exchangeVersions: peer => dissemination.exchangeVersions(peer),
        blackboard,
        metrics,
        clock: this.clock,
        random: this.#random,
        logger: silentLogger,
      }).start();
    }
  }

  #create(
    self: MemberView,
    all: readonly MemberView[],
    profile: DisseminationProfile,
  ): TestDaemon {
    const blackboard = createDaemonBlackboard();
    const localMembers = all.filter(m => m.dataCentre === self.dataCentre);
    blackboard.write('members', new Map(localMembers.map(m => [m.vmId, m])));
    const remoteMembers = all.filter(m => m.dataCentre !== self.dataCentre);
    blackboard.write('remotePeers', remoteMembers);
    const metrics = new Metrics();
    const common = {blackboard, metrics, logger: silentLogger};
    const authenticator = new FleetAuthenticator({
      keys: [{id: 'k1', secret: 'a shared test secret'}],
      clock: this.clock,
    });
    const dissemination = new DisseminationController({
      ...common,
      vmId: self.vmId,
      dataCentre: self.dataCentre,
      profile,
      applier: new VersionApplier({...common, minimumVersion: 0}),
      link: this.network.linkFrom(self.address),
      authenticator: authenticator,
      clock: this.clock,
      random: this.#random,
    });
    void dissemination.start();
    this.network.attach(self.address, {
      push: request => dissemination.handlePush(request),
      pull: request => dissemination.handlePull(request),
      announce: request => dissemination.handleAnnounce(request),
      sendVmList: async () => ({outcome: 'held'}),
      notify: async () => {},
      getState: async () => ({
        vmId: self.vmId,
        version: 0,
        highestSeenVersion: 0,
        lastVersionOfAsker: 0,
        members: [],
      }),
    });
    return {member: self, blackboard, metrics, authenticator, dissemination};
  }
}
