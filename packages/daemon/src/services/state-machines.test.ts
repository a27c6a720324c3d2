import type {ProgramCommand} from '@marjoramcove/programs';
import {asId, type ProgramId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {decodeCommand, encodeCommand} from './state-machines.ts';

const command: ProgramCommand = {
	type: 'settle-call',
	nowMs: 1_786_000_000_000.5,
	programId: asId<ProgramId>('p0-a'),
	requestId: asId('r1'),
	attempt: 1,
	outcome: {status: 'answered', verdict: 'ran', contentType: 'text/plain'},
	answer: {role: 'assistant', content: 'é'.repeat(100) + '\u{1F600}'},
	usedTokens: undefined,
};

describe('encodeCommand', () => {
	it('keeps times, long texts and the absence of optional fields', () => {
		const decoded = decodeCommand<ProgramCommand>(encodeCommand(command));
		const {usedTokens, ...rest} = command;
		expect(usedTokens).toBeUndefined();
		expect(decoded).toStrictEqual(rest);
	});
});

describe('decodeCommand', () => {
	it('names the format of a command of another version instead of applying it', () => {
		// Guards against replicas that apply the same entry differently.
		const old = Buffer.from(JSON.stringify(command));
		expect(() => decodeCommand(old)).toThrow(
			expect.objectContaining({
				reason: 'invalid-input',
				verdict: 'not-run',
				message: expect.stringContaining('format 123') as string,
			}),
		);
	});

	it('refuses a damaged command', () => {
		const bytes = encodeCommand(command);
		for (let length = 0; length < bytes.length; length++) {
			expect(() => decodeCommand(bytes.subarray(0, length))).toThrow(
				/damaged/v,
			);
		}

		expect(() =>
			decodeCommand(Buffer.concat([bytes, bytes.subarray(1)])),
		).toThrow(/damaged/v);
	});
});
