import {expect} from 'chai';
import {
  applyVmList,
  decodeVmList,
  encodeVmList,
} from '@carobseam/fleet.readers';
import {makeListedVm} from '@carobseam/testing.scenarios';

describe('VM list codec', () => {
  const vms = Array.from({length: 2100}, (_, i) => makeListedVm(`vm-${i}`));
  const current = {index: 4, vms};
  const changed = {index: 7, vms: [...vms.slice(1), makeListedVm('vm-new')]};

  it('guards against sending the full list for one replaced VM', () => {
    const bytes = encodeVmList(changed, current);
    expect(bytes.byteLength).to.be.below(1000);
    const list = applyVmList(decodeVmList(bytes), current);
    expect(list?.index).to.equal(7);
    expect(list?.vms).to.have.deep.members(changed.vms);
  });

  it('guards against a difference that is applied to a list with another index', () => {
    const message = decodeVmList(encodeVmList(changed, current));
    expect(applyVmList(message, {index: 5, vms})).to.equal(undefined);
  });

  it('encodes the full list of the target size in less than 64 kB', () => {
    const bytes = encodeVmList(changed);
    expect(bytes.byteLength).to.be.below(64_000);
    expect(applyVmList(decodeVmList(bytes), {index: 0, vms: []})).to.deep.equal(
      changed,
    );
  });

  it('rejects bytes that are not an encoded list', () => {
    expect(() => decodeVmList(Buffer.of(1, 2, 3))).to.throw('decoded');
  });
});
