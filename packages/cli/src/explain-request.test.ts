import {describe, expect, it} from 'vitest';
import {explainRequest, parseLogLine} from './explain-request.ts';

const at = (second: number) => `time=2026-12-04T10:00:0${second}.000Z`;

const logs = [
	`level=info ${at(5)} daemon=entry-1 event=request-finished request=r1 program=p1 status=503 reason=turn-shard-unavailable attempts=0 durationMs=900`,
	`level=info ${at(4)} daemon=store-2 event=leadership-changed group=shard-1 term=3 isLeader=true`,
	`level=warn ${at(4)} daemon=entry-2 event=parent-lost peer=c1`,
	`level=info ${at(3)} daemon=entry-1 event=link-closed peer=s1 reason=silent`,
	`level=info ${at(1)} daemon=entry-1 event=request-finished request=r0 program=p0 status=200 reason=served durationMs=10`,
	'not a line of ours',
];

describe('explainRequest', () => {
	it('puts the lines that matter in their order and says what decided', () => {
		const explanation = explainRequest(logs, 'r1')!;
		expect(explanation.lines.map(({fields}) => fields.event)).toEqual([
			'link-closed',
			'leadership-changed',
			'request-finished',
		]);
		expect(explanation.sentence).toContain(
			'the shard of its program could not be reached in time',
		);
	});

	it('says so when a request has not been finished', () => {
		const line = `${at(5)} daemon=entry-1 event=turn-not-settled request=r9`;
		expect(explainRequest([line], 'r9')?.sentence).toContain('not finished');
	});

	it('knows nothing of a request that no line names', () => {
		expect(explainRequest(logs, 'r2')).toBeUndefined();
	});
});

describe('parseLogLine', () => {
	it('reads quoted values', () => {
		const {fields} = parseLogLine(String.raw`a=1 error="said \"no\"" b=2`);
		expect(fields).toEqual({a: '1', error: String.raw`said \"no\"`, b: '2'});
	});
});
