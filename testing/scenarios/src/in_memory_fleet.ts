import {createDaemonBlackboard} from '@carobseam/core.blackboard';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName, VmId} from '@carobseam/core.types';
import {listFilesToPublish} from '@carobseam/config.declarations';
import {
  DisseminationController,
  TreeBroadcaster,
  VersionApplier,
} from '@carobseam/fleet.dissemination';
import {FleetAuthenticator} from '@carobseam/fleet.link';
import {
  RateLimitedPlatform,
  CallRateLimiter,
  PeerActivity,
  PlatformVersionSource,
  ReaderController,
  VersionWatch,
  VmListBroadcaster,
  VmListWatch,
} from '@carobseam/fleet.readers';
import type {
  ListedVm,
  PlatformReader,
} from '@carobseam/config.published_reader';
import {
  InMemoryPlatformReader,
  InMemoryPlatform,
} from '@carobseam/testing.platform_stand_in';
import {
  InMemoryLinkNetwork,
  makeMember,
  type makeVersion,
} from '@carobseam/testing.fixtures';
import {VmListMembership} from './vm_list_membership.js';

/** Prefix of the platform's keys in an in-memory fleet. */
export const KEY_PREFIX = 'test';

/** Options of `InMemoryFleet`. */
export interface InMemoryFleetOptions {
  /** Number of VMs in each data centre. */
  vmsPerDataCentre: number;
  dataCentres?: readonly string[];
  limitCallsPerSecond?: number;
  seed: number;
  /** Replaces a daemon's access to the platform. */
  wrapReader?: (reader: PlatformReader, index: number) => PlatformReader;
  /** Whether a daemon reaches the platform now. */
  canReachPlatform?: (vm: ListedVm) => boolean;
  /** Whether daemons exchange versions each second, as probes do. */
  exchangesVersions?: boolean;
}

const PROBE_PERIOD_MS = 1000;

/** The parts of one daemon of an in-memory fleet. */
export type InMemoryDaemon = ReturnType<InMemoryFleet['createDaemon']>;

/** Daemons that read one in-memory platform, on one manual clock. */
export class InMemoryFleet {
  readonly clock = new ManualClock();
  readonly platform: InMemoryPlatform;
  readonly network: InMemoryLinkNetwork;
  readonly vms: ListedVm[];
  readonly daemons: InMemoryDaemon[];
  readonly #random: SeededRandom;
  readonly #options: InMemoryFleetOptions;

  constructor(options: InMemoryFleetOptions) {
    this.#options = options;
    const {
      vmsPerDataCentre: size,
      dataCentres = ['ost-wien'],
      limitCallsPerSecond,
    } = options;
    this.#random = new SeededRandom(options.seed);
    this.network = new InMemoryLinkNetwork(this.clock, this.#random);
    this.platform = new InMemoryPlatform({
      clock: this.clock,
      limitCallsPerSecond: limitCallsPerSecond ?? 2000,
    });
    this.vms = dataCentres.flatMap(name =>
      Array.from({length: size}, (_, index) =>
        makeListedVm(`${name}-${index}`, name),
      ),
    );
    this.platform.putVms(this.vms);
    this.daemons = this.vms.map((vm, index) => this.createDaemon(vm, index));
  }

  publish(version: ReturnType<typeof makeVersion>): void {
    for (const {key, bytes} of listFilesToPublish(version, KEY_PREFIX)) {
      this.platform.put(key, bytes);
    }
  }

  async start(): Promise<void> {
    for (const {bridge, controller} of this.daemons) {
      await bridge.start();
      await controller.start();
    }
    if (this.#options.exchangesVersions) {
      this.daemons.forEach(daemon => this.#probe(daemon));
    }
  }

  /** Exchanges versions with a random peer, also of other data centres. */
  #probe(daemon: InMemoryDaemon): void {
    const others = this.vms.filter(vm => vm.vmId !== daemon.vm.vmId);
    const peer = others[this.#random.nextInt(others.length)]!;
    void daemon.dissemination.exchangeVersions(peer).catch(() => {});
    this.clock.setTimer(PROBE_PERIOD_MS, () => this.#probe(daemon));
  }

  distinctVersions(): Set<number> {
    return new Set(
      this.daemons.map(d => d.blackboard.read('snapshot')?.version ?? 0),
    );
  }

  distinctVmListIndexes(): Set<number> {
    return new Set(this.daemons.map(d => d.blackboard.read('vmList').index));
  }

  async sumMetric(
    name: Parameters<Metrics['total']>[0],
    labels: Record<string, string>,
  ): Promise<number> {
    const totals = this.daemons.map(d => d.metrics.total(name, labels));
    return (await Promise.all(totals)).reduce((sum, n) => sum + n, 0);
  }

  /** Wires one daemon as daemon/main does. */
  createDaemon(vm: ListedVm, index: number) {
    const {vmId, dataCentre} = vm;
    const blackboard = createDaemonBlackboard();
    const metrics = new Metrics();
    const random = this.#random;
    const clock = this.clock;
    const common = {blackboard, metrics, clock, random, logger: silentLogger};
    const self = makeMember({vmId, dataCentre});
    const sealer = new FleetAuthenticator({
      keys: [{id: 'k1', secret: 'a shared test secret'}],
      clock,
    });
    const link = this.network.linkFrom(vm.address);
    const dissemination = new DisseminationController({
      ...common,
      vmId,
      dataCentre,
      profile: 'fast',
      applier: new VersionApplier({...common, minimumVersion: 0}),
      link,
      authenticator: sealer,
    });
    void dissemination.start();
    const tree = new TreeBroadcaster({vmId, dataCentre, blackboard});
    const spreader = new VmListBroadcaster({
      ...common,
      vmId,
      tree,
      link,
      authenticator: sealer,
    });
    const contact = new PeerActivity(clock);
    const controller = this.#createController({
      ...common,
      index,
      vm,
      dissemination,
      spreader,
      peerActivity: contact,
    });
    const heard = <Request, Reply>(
      handle: (request: Request) => Promise<Reply>,
    ) => {
      return (request: Request) => {
        contact.recordMessage();
        return handle(request);
      };
    };
    this.network.attach(vm.address, {
      push: heard(request => dissemination.handlePush(request)),
      pull: heard(request => dissemination.handlePull(request)),
      announce: heard(request => dissemination.handleAnnounce(request)),
      sendVmList: heard(request => spreader.handle(request)),
      notify: async () => {},
      getState: async () => ({
        vmId: vm.vmId,
        version: 0,
        highestSeenVersion: 0,
        lastVersionOfAsker: 0,
        members: [],
      }),
    });
    const bridge = new VmListMembership({self, dataCentre, blackboard});
    return {
      vm,
      blackboard,
      metrics,
      contact,
      dissemination,
      bridge,
      controller,
    };
  }

  #createController(
    parts: Pick<
      ConstructorParameters<typeof ReaderController>[0],
      'blackboard' | 'clock' | 'random' | 'metrics' | 'logger' | 'peerActivity'
    > & {
      index: number;
      vm: ListedVm;
      dissemination: DisseminationController;
      spreader: VmListBroadcaster;
    },
  ): ReaderController {
    const {
      index,
      vm,
      dissemination,
      spreader,
      peerActivity: contact,
      blackboard,
    } = parts;
    const {limitCallsPerSecond = 2000, wrapReader: wrap = reader => reader} =
      this.#options;
    const {canReachPlatform: reachesPlatform = () => true} = this.#options;
    const fleetSizeHint = this.vms.length;
    const budget = new CallRateLimiter({
      ...parts,
      callsPerSecond: limitCallsPerSecond / 2 / fleetSizeHint,
      burst: 1,
    });
    const inMemory = new InMemoryPlatformReader(this.platform, () =>
      reachesPlatform(vm),
    );
    const reader = wrap(inMemory, index);
    const platform = new RateLimitedPlatform({
      ...parts,
      reader,
      rateLimiter: budget,
      timeoutMs: 2000,
    });
    const shared = {...parts, platform, keyPrefix: KEY_PREFIX};
    return new ReaderController({
      ...parts,
      ...vm,
      readerCount: 2,
      fleetCallsPerSecond: limitCallsPerSecond,
      fleetSizeHint,
      rateLimiter: budget,
      versionWatch: new VersionWatch({
        ...shared,
        source: new PlatformVersionSource(shared),
        watchWaitMs: 30_000,
        checkVersion: (version, digest) =>
          dissemination.checkVersion(version, digest),
        offer: contents => void dissemination.applyPlatformVersion(contents),
      }),
      vmListWatch: new VmListWatch({
        ...shared,
        watchWaitMs: 30_000,
        broadcast: previous => spreader.broadcast(previous),
      }),
      contactPeer: () => {
        const members = [...blackboard.read('members').values()];
        const peers = members.filter(member => member.vmId !== vm.vmId);
        const peer = peers[parts.random.nextInt(peers.length)];
        const heard = () => contact.recordMessage();
        void (
          peer && dissemination.exchangeVersions(peer).then(heard, () => {})
        );
      },
    });
  }
}

/** A live VM of the platform's list. */
export function makeListedVm(vmId: string, dataCentre = 'ost-wien'): ListedVm {
  return {
    vmId: vmId as VmId,
    dataCentre: dataCentre as DataCentreName,
    service: 'hintdesk' as ListedVm['service'],
    address: vmId,
    fleetPort: 1,
    callersPort: 2,
    state: 'live',
  };
}
