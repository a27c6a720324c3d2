export {diffServers, type ServerChanges} from './diff-servers.ts';
export {
	type InventoryPage,
	InventorySource,
	type ListedServer,
} from './listed-server.ts';
export {readInventory} from './read-inventory.ts';
