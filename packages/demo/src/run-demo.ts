import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {
	describeSelector,
	runCommand,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {stringify} from 'yaml';
import {expectStep} from './demo-error.ts';
import {runProgram, type Show} from './run-program.ts';

const runCli = async (
	bed: TestBed,
	arguments_: string[],
	show: Show,
): Promise<string> => {
	show(`$ marjoramcove ${arguments_.join(' ')}`);
	const result = await runCommand(arguments_, {
		MARJORAMCOVE_ADDRESS: bed.cluster.addresses.join(','),
	});
	expectStep(
		result.code === 0,
		`marjoramcove ${arguments_[0]}`,
		'exit code 0',
		result,
	);
	for (const line of result.out.trimEnd().split('\n')) {
		show(`  ${line}`);
	}

	return result.out;
};

const applyConfiguration = async (bed: TestBed, show: Show): Promise<void> => {
	const file = path.join(bed.cluster.folder, 'demo.yaml');
	const resources = [
		describeSelector(
			'coaching',
			{agent: 'entry-coaching'},
			{tokens: 100_000, turns: 50, wallTimeMs: 600_000},
		),
		describeSelector('review', {agent: 'rules-review'}),
		{
			kind: 'ProgramLabelRule',
			name: 'halls',
			labels: {},
			spec: {match: {agent: 'entry-coaching'}, add: {tier: 'hall'}},
		},
	];
	writeFileSync(
		file,
		resources.map((resource) => stringify(resource)).join('---\n'),
	);
	await runCli(bed, ['apply', '-f', file], show);
};

const showAddresses = async (bed: TestBed, show: Show): Promise<void> => {
	const answer = await bed
		.caller('d4')
		.send<{addresses: Array<{address: string; zone: string}>; ttlMs: number}>(
			'GET',
			'/v1/addresses',
		);
	expectStep(
		answer.status === 200 && answer.body.addresses.length > 0,
		'addresses',
		'at least one address',
		answer,
	);
	show(
		`addresses for ${answer.body.ttlMs} ms: ${answer.body.addresses.map(({address, zone}) => `${address} (${zone})`).join(', ')}`,
	);
};

const readHistoryElsewhere = async (
	bed: TestBed,
	programId: string,
	show: Show,
): Promise<void> => {
	const history = await waitFor('the history at d6', async () =>
		bed.caller('d6').readHistory(programId),
	);
	expectStep(
		history.some(({content}) => content.includes('delta kite')) &&
			history.length >= 10,
		'history at d6',
		'all turns of the program',
		history,
	);
	show(`history read from d6: ${history.length} entries`);
	for (const {role, content} of history) {
		show(`  ${role}: ${content.slice(0, 80)}`);
	}
};

const drainDaemon = async (bed: TestBed, show: Show): Promise<void> => {
	await runCli(bed, ['drain', 'd5'], show);
	const exit = await bed.cluster.daemon('d5').exited();
	expectStep(exit.code === 0, 'drain of d5', 'exit code 0', exit);
	show('daemon d5 exited with code 0');
};

/**
 * Runs the example: 8 daemon processes, 3 engines, an entry desk and an order desk.
 *
 * @throws DemoError when a step does not give the expected result.
 */
export const runDemo = async (show: Show): Promise<void> => {
	show('starting 8 daemons, 3 engines, an entry desk and an order desk');
	const bed = await TestBed.start({daemonCount: 8, engineCount: 3});
	try {
		await showAddresses(bed, show);
		await applyConfiguration(bed, show);
		const programId = await runProgram(bed, show);
		await readHistoryElsewhere(bed, programId, show);
		await drainDaemon(bed, show);
	} catch (error) {
		show(bed.cluster.describeLogs(5));
		throw error;
	} finally {
		await bed.stop();
	}
};
