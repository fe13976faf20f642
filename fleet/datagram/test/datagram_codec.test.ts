import {expect} from 'chai';
import type {
  DataCentreName,
  Digest,
  ServiceName,
  VmId,
} from '@carobseam/core.types';
import {
  decodeDatagram,
  encodeDatagram,
  MAX_DATAGRAM_BYTES,
  DATAGRAM_HEADER_BYTES,
} from '@carobseam/fleet.datagram';
import type {MemberRecord, MembershipMessage} from '@carobseam/fleet.types';

function createRecord(vmId: string, service = 'hintdesk'): MemberRecord {
  return {
    vmId: vmId as VmId,
    dataCentre: 'ost-wien' as DataCentreName,
    service: service as ServiceName,
    address: '10.1.2.3',
    fleetPort: 7101,
    callersPort: 7100,
    incarnation: 1_700_000_000_000,
    state: 'suspect',
    servingSinceWallMs: Number.MAX_SAFE_INTEGER,
    configVersion: 42,
  };
}

function createProbe(updates: MemberRecord[]): MembershipMessage {
  return {
    kind: 'indirect_probe',
    seq: 65_535,
    sender: createRecord('vm-0'),
    manifestDigest: 'ab'.repeat(16) as Digest,
    updates,
    target: {vmId: 'vm-9' as VmId, address: '10.1.2.4', fleetPort: 7101},
  };
}

describe('datagram codec', () => {
  it('guards against a field that is not encoded or decoded', () => {
    const message = createProbe([createRecord('vm-1'), createRecord('vm-2')]);
    expect(decodeDatagram(encodeDatagram(message))).to.deep.equal(message);
    const contact = {kind: 'contact', seq: 1, echo: 2} as const;
    expect(decodeDatagram(encodeDatagram(contact))).to.deep.equal(contact);
  });

  it('guards against typical updates that do not fit into a datagram', () => {
    const updates = Array.from({length: 8}, (_, i) =>
      createRecord(`ost-stpoelten-hintdesk-${i}`),
    );
    const {length} = encodeDatagram(createProbe(updates));
    expect(length + DATAGRAM_HEADER_BYTES).to.be.at.most(MAX_DATAGRAM_BYTES);
  });

  it('guards against accepting malformed payloads', () => {
    const valid = encodeDatagram(createProbe([]));
    const cases = [
      Buffer.from('not msgpack at all'),
      valid.subarray(0, valid.length - 1),
      encodeDatagram({kind: 'contact', seq: 70_000, echo: 0}),
      encodeDatagram(createProbe([createRecord('Not A Name')])),
      encodeDatagram(
        createProbe(Array.from({length: 9}, (_, i) => createRecord(`vm-${i}`))),
      ),
    ];
    for (const bytes of cases) {
      expect(decodeDatagram(bytes)).to.equal(undefined);
    }
  });
});
